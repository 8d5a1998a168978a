package settings

import (
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"strings"
)

// Errors collects the validation errors of a settings struct, in the order in
// which they are found. The zero value is ready for use.
type Errors struct {
	all []error
}

// All returns the collected errors.
func (e *Errors) All() []error { return e.all }

// Add adds an error with a message formatted as by fmt.Errorf.
func (e *Errors) Add(format string, args ...any) {
	e.all = append(e.all, fmt.Errorf(format, args...))
}

// AddError adds err unless it is nil.
func (e *Errors) AddError(err error) {
	if err != nil {
		e.all = append(e.all, err)
	}
}

// Address adds an error unless value has a host and a port.
func (e *Errors) Address(name, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		e.Add("%s: %w", name, err)
	}
}

// OptionalAddress is Address for a setting that may be empty.
func (e *Errors) OptionalAddress(name, value string) {
	if value != "" {
		e.Address(name, value)
	}
}

// OptionalURL adds an error unless raw is empty or an HTTP or HTTPS URL.
func (e *Errors) OptionalURL(name, raw string) {
	if raw == "" {
		return
	}
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		e.Add("%s: %q is not an HTTP URL", name, Redact(raw))
	}
}

// Positive adds an error unless value is above 0.
func (e *Errors) Positive(name string, value int64) {
	if value <= 0 {
		e.Add("%s must be positive", name)
	}
}

// LogLevel adds an error unless text is the name of a log level.
func (e *Errors) LogLevel(text string) {
	if _, err := LogLevel(text); err != nil {
		e.Add("log-level: %w", err)
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
