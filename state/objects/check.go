package objects

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

const (
	// MaxInputBytes is the maximum size of one file and of one encoded set.
	MaxInputBytes = 64 << 20
	// MaxSlots is the maximum number of requests that an endpoint may run
	// concurrently.
	MaxSlots = 1024
	// MaxPrefetch is the maximum number of requests that an agent may prefetch.
	MaxPrefetch = 64
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern = regexp.MustCompile(`^/[^\s?#\x00-\x1f\x7f]*$`)
)

// Fault is one validation error, which keeps a set from being published.
type Fault struct {
	// File and Line are zero for objects that were not read from a file.
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Kind    Kind   `json:"kind,omitempty"`
	Object  string `json:"object,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns the fault in the form "file:line: Kind name: field: message".
func (f Fault) String() string {
	var parts []string
	if f.File != "" {
		parts = append(parts, fmt.Sprintf("%s:%d", f.File, f.Line))
	}
	if object := strings.TrimSpace(string(f.Kind) + " " + f.Object); object != "" {
		parts = append(parts, object)
	}
	if f.Field != "" {
		parts = append(parts, f.Field)
	}
	return strings.Join(append(parts, f.Message), ": ")
}

// position is the place in a file where an object was read. A nil position
// stands for an object that was not read from a file.
type position struct {
	file string
	line int
	// fields maps the fields present in the document to their lines.
	fields map[string]int
	// reported holds the fields for which the parser has reported a fault.
	// Later faults of these fields are dropped.
	reported map[string]bool
}

func (p *position) String() string {
	if p == nil {
		return ""
	}
	return fmt.Sprintf("%s:%d", p.file, p.line)
}

// reporter collects the faults of one object.
type reporter struct {
	faults *[]Fault
	kind   Kind
	name   string
	pos    *position
}

func (r reporter) add(field, format string, args ...any) {
	f := Fault{Kind: r.kind, Object: r.name, Field: field, Message: fmt.Sprintf(format, args...)}
	if r.pos != nil {
		if r.pos.reported[field] {
			return
		}
		f.File = r.pos.file
		f.Line = r.pos.line
		if line, ok := r.pos.fields[field]; ok {
			f.Line = line
		}
	}
	*r.faults = append(*r.faults, f)
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Object, b.Object),
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Message, b.Message),
		)
	})
}

// checkFields reports the faults that can be found in the object alone.
func checkFields(o Object, r reporter) {
	checkName(r, "name", o.ObjectName())
	switch o := o.(type) {
	case *Team:
		checkTeam(o, r)
	case *Service:
		checkService(o, r)
	case *Endpoint:
		checkEndpoint(o, r)
	case *Share:
		checkShare(o, r)
	}
}

func checkName(r reporter, field, name string) {
	if name == "" {
		r.add(field, "is empty")
		return
	}
	if !namePattern.MatchString(name) {
		r.add(field, "%q is not a name: 1 to 63 lower-case letters, digits, dots and hyphens, starting with a letter or digit", name)
	}
}

func checkTeam(t *Team, r reporter) {
	for i, hash := range t.TokenSHA256 {
		field := fmt.Sprintf("tokenSHA256[%d]", i)
		if !hashPattern.MatchString(hash) {
			r.add(field, "is not a SHA-256 hash of 64 lower-case hexadecimal digits")
		}
		if slices.Contains(t.TokenSHA256[:i], hash) {
			r.add(field, "is listed twice")
		}
	}
}

func checkService(s *Service, r reporter) {
	if s.Type != ModelService && s.Type != PlainService {
		r.add("type", "must be %q or %q, not %q", ModelService, PlainService, s.Type)
	}
	if s.DefaultCost == 0 {
		r.add("defaultCost", "must be above 0")
	}
	if s.MaxCost == 0 {
		r.add("maxCost", "must be above 0")
	}
	if s.DefaultCost > s.MaxCost && s.MaxCost > 0 {
		r.add("defaultCost", "%d is above maxCost %d", s.DefaultCost, s.MaxCost)
	}
	names := map[string]bool{}
	paths := map[string]bool{}
	for i, op := range s.Operations {
		field := fmt.Sprintf("operations[%d]", i)
		checkName(r, field+".name", op.Name)
		if names[op.Name] {
			r.add(field+".name", "operation %q is defined twice", op.Name)
		}
		if !pathPattern.MatchString(op.Path) {
			r.add(field+".path", "%q must start with / and have no white space, ? or #", op.Path)
		}
		if paths[op.Path] {
			r.add(field+".path", "path %q is used by two operations", op.Path)
		}
		names[op.Name] = true
		paths[op.Path] = true
	}
}

func checkEndpoint(e *Endpoint, r reporter) {
	checkName(r, "zone", e.Zone)
	if e.Slots < 1 || e.Slots > MaxSlots {
		r.add("slots", "%d is not in 1 to %d", e.Slots, MaxSlots)
	}
	if e.Prefetch > MaxPrefetch {
		r.add("prefetch", "%d is not in 0 to %d", e.Prefetch, MaxPrefetch)
	}
	if e.Fencing != FencingChecked && e.Fencing != FencingIgnored {
		r.add("fencing", "must be %q or %q, not %q", FencingChecked, FencingIgnored, e.Fencing)
	}
	if e.State != EndpointActive && e.State != EndpointDraining {
		r.add("state", "must be %q or %q, not %q", EndpointActive, EndpointDraining, e.State)
	}
}

func checkShare(s *Share, r reporter) {
	if s.Weight < 1 || s.Weight > MaxWeight {
		r.add("weight", "%d is not in 1 to %d", s.Weight, MaxWeight)
	}
}
