package gobcompat

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Render lists what a value holds: a line for each element that is not zero, with the names of the fields that lead to it
// behind a prefix. Pointers and interfaces are followed. Types have no part in it.
func Render(prefix string, value any) string {
	var lines []string
	render(&lines, prefix, reflect.ValueOf(value))
	return strings.Join(lines, "")
}

func render(lines *[]string, path string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Invalid:
	case reflect.Pointer, reflect.Interface:
		render(lines, path, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			render(lines, path+"."+value.Type().Field(i).Name, value.Field(i))
		}
	case reflect.Slice, reflect.Array:
		renderList(lines, path, value)
	case reflect.Map:
		keys := value.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
		for _, key := range keys {
			render(lines, fmt.Sprintf("%s[%q]", path, key.String()), value.MapIndex(key))
		}
	default:
		if !value.IsZero() {
			*lines = append(*lines, path+" = "+renderScalar(value)+"\n")
		}
	}
}

func renderList(lines *[]string, path string, value reflect.Value) {
	if value.Type().Elem().Kind() != reflect.Uint8 {
		for i := range value.Len() {
			render(lines, fmt.Sprintf("%s[%d]", path, i), value.Index(i))
		}
		return
	}
	octets := make([]byte, value.Len())
	reflect.Copy(reflect.ValueOf(octets), value)
	if !value.IsZero() {
		*lines = append(*lines, fmt.Sprintf("%s = %x\n", path, octets))
	}
}

// renderScalar renders by kind, whatever methods the type has.
func renderScalar(value reflect.Value) string {
	switch {
	case value.CanInt():
		return fmt.Sprint(value.Int())
	case value.CanUint():
		return fmt.Sprint(value.Uint())
	case value.CanFloat():
		return fmt.Sprint(value.Float())
	case value.Kind() == reflect.String:
		return fmt.Sprintf("%q", value.String())
	default:
		return fmt.Sprint(value.Bool())
	}
}
