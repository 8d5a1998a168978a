// Package settings reads a process's settings from flags and environment
// variables of the same names, and reports all faults together. It owns no
// state.
//
// A settings struct has fields with the tags
//
//	flag:"fleet-listen"  name of the flag; the variable is ACACIASPAR_FLEET_LISTEN
//	default:"127.0.0.1:0"
//	usage:"text of the help"
//	secret:"true"        the value is left out of printed settings
//
// A field may be a string, bool, int, uint64, time.Duration or a type that
// implements encoding.TextUnmarshaler.
package settings

import (
	"encoding"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"reflect"
	"regexp"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/caarlos0/env/v11"
)

// EnvPrefix starts the name of every environment variable of the product.
const EnvPrefix = "ACACIASPAR_"

// Source tells where a setting's value came from.
type Source string

// The sources, from the weakest to the strongest.
const (
	FromDefault     Source = "default"
	FromEnvironment Source = "environment"
	FromFlag        Source = "flag"
)

// Validator checks a settings struct as a whole. Validate returns every fault.
type Validator interface {
	Validate() []error
}

// Value is one setting in force.
type Value struct {
	Name   string `json:"name"`
	Value  string `json:"value"`
	Source Source `json:"source"`
}

// Loader binds one settings struct to a flag set.
type Loader struct {
	target any
	fields []field
	faults []error
}

type field struct {
	flag    string
	env     string
	secret  bool
	value   reflect.Value
	source  Source
	textual *textValue
}

// EnvName returns the environment variable that belongs to a flag.
func EnvName(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Bind fills target, a pointer to a struct, from defaults and from environ
// (in the form of os.Environ) and registers its flags in fs. Faults in the
// environment are kept until Finish.
func Bind(fs *flag.FlagSet, target any, environ []string) *Loader {
	l := &Loader{target: target}
	variables := env.ToMap(environ)
	structure := reflect.ValueOf(target).Elem()
	for i := range structure.NumField() {
		l.bindField(fs, structure.Type().Field(i), structure.Field(i), variables)
	}
	return l
}

func (l *Loader) bindField(fs *flag.FlagSet, sf reflect.StructField, v reflect.Value, variables map[string]string) {
	name, ok := sf.Tag.Lookup("flag")
	if !ok {
		return
	}
	f := field{flag: name, env: EnvName(name), secret: sf.Tag.Get("secret") == "true", value: v, source: FromDefault}
	text := &textValue{value: v}
	f.textual = text
	if def := sf.Tag.Get("default"); def != "" {
		if err := text.Set(def); err != nil {
			panic(fmt.Sprintf("default of setting %s: %v", name, err))
		}
	}
	if raw, ok := variables[f.env]; ok {
		f.source = FromEnvironment
		if err := text.Set(raw); err != nil {
			l.faults = append(l.faults, fmt.Errorf("%s: %w", f.env, err))
		}
	}
	fs.Var(text, name, sf.Tag.Get("usage")+" ["+f.env+"]")
	l.fields = append(l.fields, f)
}

// Finish runs after fs.Parse. It returns all faults joined: bad values in the
// environment, unknown variables with EnvPrefix and those that the target's
// Validate reports.
func (l *Loader) Finish(fs *flag.FlagSet, environ []string) error {
	fs.Visit(func(fl *flag.Flag) {
		for i := range l.fields {
			if l.fields[i].flag == fl.Name {
				l.fields[i].source = FromFlag
			}
		}
	})
	faults := append(l.faults, l.unknownVariables(environ)...)
	if v, ok := l.target.(Validator); ok {
		faults = append(faults, v.Validate()...)
	}
	return errors.Join(faults...)
}

func (l *Loader) unknownVariables(environ []string) []error {
	known := map[string]bool{}
	for _, f := range l.fields {
		known[f.env] = true
	}
	var faults []error
	for name := range env.ToMap(environ) {
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			faults = append(faults, fmt.Errorf("%s: unknown setting", name))
		}
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Error() < faults[j].Error() })
	return faults
}

// userInfo is the part of a URL that may hold a name and a password. A text
// that isn't a valid URL may hold one as well.
var userInfo = regexp.MustCompile(`//[^\s,]*@`)

// Redact leaves user names and passwords out of the URLs in a text.
func Redact(text string) string {
	return userInfo.ReplaceAllString(text, "//(set)@")
}

// Values returns the settings in force, secrets replaced by "(set)".
func (l *Loader) Values() []Value {
	values := make([]Value, 0, len(l.fields))
	for _, f := range l.fields {
		text := Redact(f.textual.String())
		if f.secret && text != "" {
			text = "(set)"
		}
		values = append(values, Value{Name: f.flag, Value: text, Source: f.source})
	}
	return values
}

// Print writes a table of the settings in force.
func (l *Loader) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "SETTING\tVALUE\tSOURCE")
	for _, v := range l.Values() {
		fmt.Fprintf(tw, "%s\t%s\t%s\n", v.Name, v.Value, v.Source)
	}
	return tw.Flush()
}

// Environ returns the process's environment.
func Environ() []string { return os.Environ() }

// textValue implements flag.Value over a struct field.
type textValue struct{ value reflect.Value }

func (t *textValue) String() string {
	if t == nil || !t.value.IsValid() {
		return ""
	}
	return fmt.Sprint(t.value.Interface())
}

func (t *textValue) Set(raw string) error {
	if u, ok := t.value.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(raw))
	}
	// The library parses into a struct by tags, so a struct with this one field is built.
	holder := reflect.New(reflect.StructOf([]reflect.StructField{{
		Name: "Value", Type: t.value.Type(), Tag: `env:"VALUE"`,
	}}))
	err := env.ParseWithOptions(holder.Interface(), env.Options{Environment: map[string]string{"VALUE": raw}})
	if err != nil {
		return fmt.Errorf("%q is not a valid %s", raw, t.value.Type())
	}
	t.value.Set(holder.Elem().Field(0))
	return nil
}

// IsBoolFlag lets a boolean flag stand without a value.
func (t *textValue) IsBoolFlag() bool { return t.value.Kind() == reflect.Bool }
