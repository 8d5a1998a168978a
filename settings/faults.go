package settings

import (
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"strings"
)

// Faults collects the validation errors of a settings struct, in the order in
// which they are found. The zero value is ready for use.
type Faults struct {
	all []error
}

// All returns the collected faults.
func (f *Faults) All() []error { return f.all }

// Add adds a fault with a message formatted as by fmt.Errorf.
func (f *Faults) Add(format string, args ...any) {
	f.all = append(f.all, fmt.Errorf(format, args...))
}

// AddError adds err unless it is nil.
func (f *Faults) AddError(err error) {
	if err != nil {
		f.all = append(f.all, err)
	}
}

// Address adds a fault unless value has a host and a port.
func (f *Faults) Address(name, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		f.Add("%s: %w", name, err)
	}
}

// OptionalAddress is Address for a setting that may be empty.
func (f *Faults) OptionalAddress(name, value string) {
	if value != "" {
		f.Address(name, value)
	}
}

// OptionalURL adds a fault unless raw is empty or an HTTP or HTTPS URL.
func (f *Faults) OptionalURL(name, raw string) {
	if raw == "" {
		return
	}
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		f.Add("%s: %q is not an HTTP URL", name, Redact(raw))
	}
}

// Positive adds a fault unless value is above 0.
func (f *Faults) Positive(name string, value int64) {
	if value <= 0 {
		f.Add("%s must be positive", name)
	}
}

// LogLevel adds a fault unless text is the name of a log level.
func (f *Faults) LogLevel(text string) {
	if _, err := LogLevel(text); err != nil {
		f.Add("log-level: %w", err)
	}
}

// LogLevel parses the name of a log level.
func LogLevel(text string) (slog.Level, error) {
	var level slog.Level
	err := level.UnmarshalText([]byte(text))
	return level, err
}

// List splits a comma-separated setting into its values. White space around
// values and empty values are removed.
func List(value string) []string {
	var parts []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
