package objects

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Document is one parsed object with its position in a file.
type Document struct {
	Object Object
	pos    *position
}

// Source is the content of one file.
type Source struct {
	Name string
	Data []byte
}

// Load parses and validates files that together define one set. It returns
// either the set or all faults.
func Load(sources ...Source) (*Set, []Fault) {
	var documents []Document
	var faults []Fault
	for _, src := range sources {
		docs, parseFaults := Parse(src.Name, src.Data)
		documents = append(documents, docs...)
		faults = append(faults, parseFaults...)
	}
	set, more := Check(documents)
	faults = append(faults, more...)
	if len(faults) > 0 {
		sortFaults(faults)
		return nil, faults
	}
	return set, nil
}

// Check builds a set from documents. It returns either the set or all faults.
func Check(documents []Document) (*Set, []Fault) {
	var faults []Fault
	edits := make([]edit, 0, len(documents))
	first := map[string]Document{}
	for _, d := range documents {
		kind, name := d.Object.ObjectKind(), d.Object.ObjectName()
		normalize(d.Object)
		key := string(kind) + "/" + name
		if other, ok := first[key]; ok {
			r := reporter{faults: &faults, kind: kind, name: name, pos: d.pos}
			checkFields(d.Object, r)
			reportDuplicateName(d.Object, other, r)
			continue
		}
		first[key] = d
		edits = append(edits, edit{kind: kind, name: name, object: d.Object, pos: d.pos})
	}
	set, more := NewSet().applyEdits(edits)
	faults = append(faults, more...)
	if len(faults) > 0 {
		sortFaults(faults)
		return nil, faults
	}
	return set, nil
}

func reportDuplicateName(o Object, first Document, r reporter) {
	e, ok := o.(*Endpoint)
	if ok && e.Service != first.Object.(*Endpoint).Service {
		r.add("service", "the endpoint also belongs to service %q at %s", first.Object.(*Endpoint).Service, first.pos)
	}
	if o.ObjectName() != "" {
		r.add("name", "is already defined at %s", first.pos)
	}
}

// Parse reads the documents of one YAML or JSON file. A document is an object
// or a list of objects. Objects with faults are also returned if their kind is
// known, so that Check can find further faults.
func Parse(file string, data []byte) ([]Document, []Fault) {
	p := &parser{file: file}
	if len(data) > MaxInputBytes {
		p.fault(0, fmt.Sprintf("the file has %d bytes, more than %d", len(data), MaxInputBytes))
		return nil, p.faults
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var node yaml.Node
		err := dec.Decode(&node)
		if errors.Is(err, io.EOF) {
			return p.documents, p.faults
		}
		if err != nil {
			// The YAML decoder can't continue after a syntax error.
			line, message := syntaxError(err)
			p.fault(line, message)
			return p.documents, p.faults
		}
		p.root(&node)
	}
}

var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): `)

func syntaxError(err error) (int, string) {
	text := err.Error()
	match := syntaxLine.FindStringSubmatch(text)
	if match == nil {
		return 1, strings.TrimPrefix(text, "yaml: ")
	}
	line, _ := strconv.Atoi(match[1])
	return line, text[len(match[0]):]
}

type parser struct {
	file      string
	documents []Document
	faults    []Fault
}

func (p *parser) fault(line int, message string) {
	p.faults = append(p.faults, Fault{File: p.file, Line: line, Message: message})
}

func (p *parser) root(node *yaml.Node) {
	if node.Kind == yaml.DocumentNode {
		for _, content := range node.Content {
			p.root(content)
		}
		return
	}
	if isNull(node) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		p.object(node)
		return
	}
	for _, item := range node.Content {
		p.object(item)
	}
}

func (p *parser) object(node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		p.fault(node.Line, "is not an object with kind, name and fields")
		return
	}
	kind, ok := p.kindOf(node)
	if !ok {
		return
	}
	object := newObject(kind)
	name := nameOf(node)
	if object == nil {
		p.faults = append(p.faults, Fault{File: p.file, Line: node.Line, Object: name, Field: "kind", Message: fmt.Sprintf("unknown kind %q", kind)})
		return
	}
	pos := &position{file: p.file, line: node.Line, fields: map[string]int{}, reported: map[string]bool{}}
	d := decoder{reporter: reporter{faults: &p.faults, kind: kind, name: name, pos: pos}}
	d.mapping("", node, reflect.ValueOf(object).Elem())
	p.documents = append(p.documents, Document{Object: object, pos: pos})
}

func (p *parser) kindOf(node *yaml.Node) (Kind, bool) {
	value := valueOf(node, "kind")
	if value == nil {
		p.faults = append(p.faults, Fault{File: p.file, Line: node.Line, Object: nameOf(node), Field: "kind", Message: "is missing"})
		return "", false
	}
	return Kind(value.Value), true
}

func nameOf(node *yaml.Node) string {
	if value := valueOf(node, "name"); value != nil && value.Kind == yaml.ScalarNode && !isNull(value) {
		return value.Value
	}
	return ""
}

func valueOf(mapping *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == key {
			return mapping.Content[i+1]
		}
	}
	return nil
}

func isNull(node *yaml.Node) bool {
	return node.Kind == yaml.ScalarNode && node.ShortTag() == "!!null"
}

// decoder sets the fields of one object from YAML nodes. It decodes field by
// field because the YAML library's decoder stops at the first error of a
// document and rounds fractions to integers.
type decoder struct{ reporter }

func (d decoder) reportInvalid(field string, node *yaml.Node, format string, args ...any) {
	d.pos.fields[field] = node.Line
	d.add(field, format, args...)
	d.pos.reported[field] = true
}

func (d decoder) mapping(prefix string, node *yaml.Node, target reflect.Value) {
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		field := prefix + key.Value
		if seen[key.Value] {
			d.reportInvalid(field, key, "duplicate field")
			continue
		}
		seen[key.Value] = true
		if prefix == "" && key.Value == "kind" {
			continue
		}
		fieldValue, ok := fieldByTag(target, key.Value)
		if !ok {
			d.reportInvalid(field, key, "unknown field")
			continue
		}
		d.pos.fields[field] = key.Line
		d.value(field, value, fieldValue)
	}
}

func fieldByTag(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if target.Type().Field(i).Tag.Get("yaml") == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (d decoder) value(field string, node *yaml.Node, target reflect.Value) {
	if node.Kind == yaml.AliasNode {
		d.reportInvalid(field, node, "aliases are not supported")
		return
	}
	if isNull(node) {
		return
	}
	switch target.Kind() {
	case reflect.Slice:
		d.list(field, node, target)
	case reflect.Struct:
		if node.Kind != yaml.MappingNode {
			d.reportInvalid(field, node, "must be a mapping")
			return
		}
		d.mapping(field+".", node, target)
	default:
		d.scalar(field, node, target)
	}
}

func (d decoder) list(field string, node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.reportInvalid(field, node, "must be a list")
		return
	}
	items := reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		itemField := fmt.Sprintf("%s[%d]", field, i)
		d.pos.fields[itemField] = item.Line
		d.value(itemField, item, items.Index(i))
	}
	target.Set(items)
}

func (d decoder) scalar(field string, node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.reportInvalid(field, node, "must be a single value")
		return
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(node.Value)
	case reflect.Bool:
		if node.ShortTag() != "!!bool" || node.Decode(target.Addr().Interface()) != nil {
			d.reportInvalid(field, node, "must be true or false, not %q", node.Value)
		}
	default:
		if node.ShortTag() != "!!int" || node.Decode(target.Addr().Interface()) != nil {
			d.reportInvalid(field, node, "must be a non-negative integer, not %q", node.Value)
		}
	}
}
