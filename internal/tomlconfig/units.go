package tomlconfig

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"dykering/internal/validation"
)

// Checker is a struct that knows more faults than its keys' types and bounds tell.
type Checker interface {
	// Check names faults, by key within it.
	Check() []validation.Error
}

// Key is what is known of a key.
type Key struct {
	Name  string // with its tables', as log.level; [] stands for any index of an array
	Field reflect.StructField
	Value reflect.Value // its default
}

// Keys are those of a struct, a pointer to which is given, in the order of its fields.
func Keys(root any) []Key {
	v := reflect.ValueOf(root).Elem()
	return keysOf("", v.Type(), v)
}

// join puts a name behind that of its table.
func join(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}

func keysOf(name string, t reflect.Type, v reflect.Value) (all []Key) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if tag == "" || tag == "-" {
			continue
		}
		k := Key{Name: join(name, tag), Field: f, Value: v.Field(i)}
		if f.Type.Kind() == reflect.Pointer { // a table of its own; it is there
			f.Type, k.Value = f.Type.Elem(), k.Value.Elem()
		}
		switch inner := f.Type; {
		case inner.Kind() == reflect.Struct && !isText(inner):
			all = append(all, keysOf(k.Name, inner, k.Value)...)
		case inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct && !isText(inner.Elem()):
			all = append(all, keysOf(k.Name+"[]", inner.Elem(), reflect.Zero(inner.Elem()))...)
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

// Text is how a value is written in the file.
func Text(v reflect.Value) string {
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
			parts[i] = Text(v.Index(i))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return fmt.Sprint(v.Interface())
}

// Bounds are those of a key, in words.
func Bounds(f reflect.StructField) string {
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
