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

// table writes rows with aligned columns.
func table(w io.Writer, header string, rows [][]any) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		cells := make([]string, 0, len(row))
		for _, cell := range row {
			cells = append(cells, printable(fmt.Sprint(cell)))
		}
		fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	_ = tw.Flush()
}

// printable replaces control characters, since records and replies hold text
// that others wrote.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}

// printChanges lists changes with the fields that differ.
func (c *command) printChanges(before *objects.Set, changes []objects.Change) {
	for _, change := range changes {
		old := before.Object(change.Kind, change.Name)
		switch {
		case change.Op == objects.OpDelete:
			c.printf("- %s %s\n", change.Kind, change.Name)
		case old == nil:
			c.printf("+ %s %s\n", change.Kind, change.Name)
		default:
			c.printf("~ %s %s: %s\n", change.Kind, change.Name, fieldChanges(objects.EncodeObject(old), change.Object))
		}
	}
}

func fieldChanges(from, to json.RawMessage) string {
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
			parts = append(parts, fmt.Sprintf("%s %s -> %s", field, valueText(a[field]), valueText(b[field])))
		}
	}
	return strings.Join(parts, ", ")
}

func valueText(raw json.RawMessage) string {
	if raw == nil {
		return "(default)"
	}
	return string(raw)
}

// notNil makes an empty JSON list of a nil slice.
func notNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
