package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

func (c *command) printJSON(value any) {
	enc := json.NewEncoder(c.app.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(value); err != nil {
		fmt.Fprintf(c.app.Stderr, "acaciaspar %s: %v\n", c.name, err)
	}
}

func (c *command) printf(format string, args ...any) {
	fmt.Fprintf(c.app.Stdout, format, args...)
}

// writeTable writes rows with aligned columns. The column names in header are
// separated by spaces.
func writeTable(w io.Writer, header string, rows [][]any) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		cells := make([]string, 0, len(row))
		for _, cell := range row {
			cells = append(cells, sanitize(fmt.Sprint(cell)))
		}
		fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	_ = tw.Flush()
}

// sanitize replaces control characters, because records and replies contain
// untrusted text.
func sanitize(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}

// printChanges prints changes and, for updates, the fields that differ.
func (c *command) printChanges(before *objects.Set, changes []objects.Change) {
	for _, change := range changes {
		old := before.Object(change.Kind, change.Name)
		switch {
		case change.Op == objects.OpDelete:
			c.printf("- %s %s\n", change.Kind, change.Name)
		case old == nil:
			c.printf("+ %s %s\n", change.Kind, change.Name)
		default:
			c.printf("~ %s %s: %s\n", change.Kind, change.Name, formatFieldChanges(objects.EncodeObject(old), change.Object))
		}
	}
}

func formatFieldChanges(from, to json.RawMessage) string {
	var a, b map[string]json.RawMessage
	if json.Unmarshal(from, &a) != nil || json.Unmarshal(to, &b) != nil {
		return "changed"
	}
	fields := slices.Collect(maps.Keys(a))
	for field := range b {
		if _, ok := a[field]; !ok {
			fields = append(fields, field)
		}
	}
	slices.Sort(fields)
	var parts []string
	for _, field := range fields {
		if !bytes.Equal(a[field], b[field]) {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", field, formatValue(a[field]), formatValue(b[field])))
		}
	}
	return strings.Join(parts, ", ")
}

func formatValue(raw json.RawMessage) string {
	if raw == nil {
		return "(default)"
	}
	return string(raw)
}

// nonNil returns an empty slice for a nil one, so that it is encoded as [] in JSON.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
