// Package operator reads the operator's file: TOML, in sections that the packages that own them register. A file is
// taken whole or not at all, and every fault in it is named with its line and key.
package operator

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"dykering/internal/faults"
)

// Version is the version of the file's format, that its key version has to name.
const Version = 1

// section is a table of the file, or, where it is a slice, an array of tables.
type section struct {
	name, doc string
	defaults  func() any // a pointer to a struct whose fields have the tags toml and doc, and may have min, max and oneof
}

var sections []section

// Register adds a section, by the package that owns it, from its init. Defaults makes a pointer to a struct with the
// values that hold where the file says nothing. The struct may be a Checker.
func Register(name, doc string, defaults func() any) {
	if slices.ContainsFunc(sections, func(s section) bool { return s.name == name }) {
		panic("operator: section " + name + " is registered twice")
	}
	sections = append(sections, section{name, doc, defaults})
	slices.SortFunc(sections, func(a, b section) int { return strings.Compare(a.name, b.name) })
}

// Checker is a section that knows more faults than its keys' types and bounds tell.
type Checker interface {
	// Check names faults, by key within the section.
	Check() []faults.Fault
}

// key is what is known of a key.
type key struct {
	name  string // with its section's, as log.level; [] stands for any index of an array
	field reflect.StructField
	value reflect.Value // its default
}

// keys are those of the registered sections, in the order of their fields.
func keys() (all []key) {
	for _, s := range sections {
		v := reflect.ValueOf(s.defaults()).Elem()
		all = append(all, keysOf(s.name, v.Type(), v)...)
	}
	return all
}

func keysOf(name string, t reflect.Type, v reflect.Value) (all []key) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if tag == "" || tag == "-" {
			continue
		}
		k := key{name: name + "." + tag, field: f, value: v.Field(i)}
		switch inner := f.Type; {
		case inner.Kind() == reflect.Struct && !isText(inner):
			all = append(all, keysOf(k.name, inner, v.Field(i))...)
		case inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct && !isText(inner.Elem()):
			all = append(all, keysOf(k.name+"[]", inner.Elem(), reflect.Zero(inner.Elem()))...)
		default:
			all = append(all, k)
		}
	}
	return all
}

// isText tells whether a type is written as text.
func isText(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[interface{ UnmarshalText([]byte) error }]())
}

// Duration is a time, written with its unit.
type Duration time.Duration

// UnmarshalText reads 250ms, 1.5s or 2m.
func (d *Duration) UnmarshalText(text []byte) error {
	got, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time with its unit, as 250ms", text)
	}
	*d = Duration(got)
	return nil
}

// MarshalText writes it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Bytes is a size, written with its unit.
type Bytes int64

var units = []struct {
	name string
	size int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText reads 16MiB, 4KiB or 512B.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, u := range units {
		if digits, ok := strings.CutSuffix(string(text), u.name); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
			if err != nil || n < 0 || n > (1<<62)/u.size {
				break
			}
			*b = Bytes(n * u.size)
			return nil
		}
	}
	return fmt.Errorf("%q is not a size with its unit, as 16MiB", text)
}

// MarshalText writes it in the largest unit that divides it.
func (b Bytes) MarshalText() ([]byte, error) {
	for _, u := range units {
		if int64(b)%u.size == 0 && int64(b) >= u.size {
			return fmt.Appendf(nil, "%d%s", int64(b)/u.size, u.name), nil
		}
	}
	return []byte("0B"), nil
}

// text is how a value is written in the file.
func text(v reflect.Value) string {
	if m, ok := v.Interface().(interface{ MarshalText() ([]byte, error) }); ok {
		b, err := m.MarshalText()
		if err != nil {
			return err.Error()
		}
		return strconv.Quote(string(b))
	}
	switch v.Kind() {
	case reflect.String:
		return strconv.Quote(v.String())
	case reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = text(v.Index(i))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return fmt.Sprint(v.Interface())
}

// Example is a file that names every key with what it is and its default.
func Example() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Every key with its default. Times and sizes have units (250ms, 16MiB); a value may be taken from the\n")
	fmt.Fprintf(&b, "# environment, as \"${NAME}\". SIGHUP has the file read again.\n\nversion = %d\n", Version)
	for _, s := range sections {
		fmt.Fprintf(&b, "\n# %s\n[%s]\n", s.doc, s.name)
		v := reflect.ValueOf(s.defaults()).Elem()
		table := ""
		for _, k := range keysOf(s.name, v.Type(), v) {
			mark, name := "", strings.TrimPrefix(k.name, s.name+".")
			if array, inner, ok := strings.Cut(k.name, "[]."); ok { // there is none by default
				if mark, name = "# ", inner; array != table {
					table = array
					fmt.Fprintf(&b, "# [[%s]]\n", array)
				}
			}
			fmt.Fprintf(&b, "# %s%s\n%s%s = %s\n", k.field.Tag.Get("doc"), bounds(k.field), mark, name, text(k.value))
		}
	}
	return b.String()
}

func bounds(f reflect.StructField) string {
	switch least, most := f.Tag.Get("min"), f.Tag.Get("max"); {
	case least != "" && most != "":
		return fmt.Sprintf(" (%s to %s)", least, most)
	case least != "":
		return fmt.Sprintf(" (at least %s)", least)
	case most != "":
		return fmt.Sprintf(" (at most %s)", most)
	}
	return ""
}
