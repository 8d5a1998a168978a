// Package settings reads a process's settings from flags and the corresponding
// environment variables, and reports all errors together. It holds no state.
//
// A settings struct has fields with the tags
//
//	flag:"fleet-listen"  name of the flag; the variable is ACACIASPAR_FLEET_LISTEN
//	default:"127.0.0.1:0"
//	usage:"help text"
//	secret:"true"        the value is omitted from printed settings
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

// EnvPrefix is the prefix of the names of all environment variables of the
// product.
const EnvPrefix = "ACACIASPAR_"

// Source is where a setting's value came from.
type Source string

// The sources in ascending order of precedence.
const (
	FromDefault     Source = "default"
	FromEnvironment Source = "environment"
	FromFlag        Source = "flag"
)

// Validator is implemented by settings structs with rules beyond those of single
// fields. Validate returns all errors.
type Validator interface {
	Validate() []error
}

// Value is the effective value of one setting.
type Value struct {
	Name   string `json:"name"`
	Value  string `json:"value"`
	Source Source `json:"source"`
}

// Loader binds one settings struct to a flag set.
type Loader struct {
	target any
	fields []field
	errs   []error
}

type field struct {
	flag   string
	env    string
	secret bool
	value  reflect.Value
	source Source
	text   *textValue
}

// EnvName returns the name of the environment variable of a flag.
func EnvName(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Bind sets the fields of target, a pointer to a struct, from their defaults and
// from environ, which has the form of os.Environ, and registers their flags in
// fs. Finish reports the errors found in environ. Bind panics if a default is
// invalid.
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
	f.text = text
	if def := sf.Tag.Get("default"); def != "" {
		if err := text.Set(def); err != nil {
			panic(fmt.Sprintf("invalid default of setting %s: %v", name, err))
		}
	}
	if raw, ok := variables[f.env]; ok {
		f.source = FromEnvironment
		if err := text.Set(raw); err != nil {
			l.errs = append(l.errs, fmt.Errorf("%s: %w", f.env, err))
		}
	}
	fs.Var(text, name, sf.Tag.Get("usage")+" ["+f.env+"]")
	l.fields = append(l.fields, f)
}

// Finish must be called after fs.Parse. It returns all errors joined: invalid
// values in the environment, unknown variables with EnvPrefix, and the errors
// that the target's Validate returns.
func (l *Loader) Finish(fs *flag.FlagSet, environ []string) error {
	fs.Visit(func(fl *flag.Flag) {
		for i := range l.fields {
			if l.fields[i].flag == fl.Name {
				l.fields[i].source = FromFlag
			}
		}
	})
	errs := append(l.errs, l.unknownVariables(environ)...)
	if v, ok := l.target.(Validator); ok {
		errs = append(errs, v.Validate()...)
	}
	return errors.Join(errs...)
}

func (l *Loader) unknownVariables(environ []string) []error {
	known := map[string]bool{}
	for _, f := range l.fields {
		known[f.env] = true
	}
	var errs []error
	for name := range env.ToMap(environ) {
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			errs = append(errs, fmt.Errorf("%s: unknown setting", name))
		}
	}
	sort.Slice(errs, func(i, j int) bool { return errs[i].Error() < errs[j].Error() })
	return errs
}

// userInfo matches the part of a URL that may contain a user name and a
// password. It also matches in text that is not a valid URL.
var userInfo = regexp.MustCompile(`//[^\s,]*@`)

// Redact replaces user names and passwords in the URLs of a text with "(set)".
func Redact(text string) string {
	return userInfo.ReplaceAllString(text, "//(set)@")
}

// Values returns the effective settings, with secrets replaced by "(set)".
func (l *Loader) Values() []Value {
	values := make([]Value, 0, len(l.fields))
	for _, f := range l.fields {
		text := Redact(f.text.String())
		if f.secret && text != "" {
			text = "(set)"
		}
		values = append(values, Value{Name: f.flag, Value: text, Source: f.source})
	}
	return values
}

// Print writes a table of the effective settings to w.
func (l *Loader) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "SETTING\tVALUE\tSOURCE")
	for _, v := range l.Values() {
		fmt.Fprintf(tw, "%s\t%s\t%s\n", v.Name, v.Value, v.Source)
	}
	return tw.Flush()
}

// Environ returns the environment of the process.
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
	// The env library only parses into tagged structs, so build one with a
	// single field of the setting's type.
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

// IsBoolFlag allows boolean flags to be given without a value.
func (t *textValue) IsBoolFlag() bool { return t.value.Kind() == reflect.Bool }
