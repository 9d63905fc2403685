package tomlconfig

import (
	"cmp"
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"dykering/internal/validation"
)

// Checker is implemented by structs whose rules concern more than the type and the bounds of one key.
type Checker interface {
	// Check returns what is wrong. Key is relative to the struct; File and Line are filled in by the decoder.
	Check() []validation.Error
}

// checkBounds reports the values that are outside their bounds and have no error yet, and fills in what the tag omitted
// says.
func (d *decoder) checkBounds(root reflect.Value) {
	for _, s := range settings("", root, presentElements) {
		setOmitted(s)
		if text := outOfBounds(s); text != "" && !d.isReported(s.key) {
			d.report(s.key, text)
		}
	}
}

// setOmitted gives an empty text the value of the tag omitted: the elements of arrays have no defaults.
func setOmitted(s setting) {
	omitted := s.field.Tag.Get("omitted")
	if omitted != "" && s.value.Kind() == reflect.String && s.value.String() == "" {
		s.value.SetString(omitted)
	}
}

// outOfBounds says which of its bounds a value violates, "" if none.
func outOfBounds(s setting) string {
	tag := s.field.Tag
	if allowed := strings.Fields(tag.Get("oneof")); len(allowed) > 0 && !slices.Contains(allowed, s.value.String()) {
		return fmt.Sprintf("%q is not one of %s", s.value.String(), strings.Join(allowed, ", "))
	}
	if lower := tag.Get("min"); lower != "" && compare(s.value, parseBound(s.field.Type, lower)) < 0 {
		return "has to be at least " + lower
	}
	if upper := tag.Get("max"); upper != "" && compare(s.value, parseBound(s.field.Type, upper)) > 0 {
		return "has to be at most " + upper
	}
	return ""
}

// parseBound reads a bound, which is written as the values of its key. It panics if it cannot: bounds are part of the
// program, and the tests of the package that declares one decode its section.
func parseBound(t reflect.Type, text string) reflect.Value {
	bound := reflect.New(t)
	if unmarshaler, ok := bound.Interface().(encoding.TextUnmarshaler); ok {
		if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
			panic(err)
		}
		return bound.Elem()
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return reflect.ValueOf(number).Convert(t)
}

// compare orders two numbers of the same kind.
func compare(a, b reflect.Value) int {
	if a.CanInt() {
		return cmp.Compare(a.Int(), b.Int())
	}
	return cmp.Compare(a.Float(), b.Float())
}

// runCheckers reports what the Checkers among a struct, to which a pointer is given, and the structs nested in it find.
// Elements of arrays are the duty of the struct that has the array.
func (d *decoder) runCheckers(table string, pointer reflect.Value) {
	if checker, ok := pointer.Interface().(Checker); ok {
		for _, err := range checker.Check() {
			d.report(join(table, err.Key), err.Text)
		}
	}
	for _, f := range fieldsOf(pointer.Elem()) {
		if isTable(f.field.Type) {
			d.runCheckers(join(table, f.name), f.value.Addr())
		}
	}
}

// DescribeBounds returns the bounds of a key for its documentation, in parentheses after a space; "" if it has none.
func DescribeBounds(field reflect.StructField) string {
	switch lower, upper := field.Tag.Get("min"), field.Tag.Get("max"); {
	case lower != "" && upper != "":
		return fmt.Sprintf(" (%s to %s)", lower, upper)
	case lower != "":
		return fmt.Sprintf(" (at least %s)", lower)
	case upper != "":
		return fmt.Sprintf(" (at most %s)", upper)
	}
	return ""
}
