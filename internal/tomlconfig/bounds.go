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

// Checker is implemented by structs with validation rules beyond the type and the bounds of a single key.
type Checker interface {
	// Check returns the errors found. Error.Key is relative to the struct; the decoder fills in File and Line.
	Check() []validation.Error
}

// checkBounds reports the values that are outside their bounds and have no error yet. It also sets empty texts to the value
// of the tag omitted.
func (d *decoder) checkBounds(root reflect.Value) {
	for _, s := range settings("", root, presentElements) {
		setOmitted(s)
		if text := outOfBounds(s); text != "" && !d.isReported(s.key) {
			d.report(s.key, text)
		}
	}
}

// setOmitted sets an empty text to the value of the tag omitted, since elements of arrays have no other defaults.
func setOmitted(s setting) {
	omitted := s.field.Tag.Get("omitted")
	if omitted != "" && s.value.Kind() == reflect.String && s.value.String() == "" {
		s.value.SetString(omitted)
	}
}

// outOfBounds describes the bound that a value violates. It returns "" if the value is within its bounds.
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

// parseBound parses a bound, which has the same syntax as the values of its key. It panics on a malformed bound: bounds are
// part of the program, and the tests of the package that declares a bound decode its section.
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

// runCheckers reports the errors of the Checkers among a struct, given by pointer, and the structs nested in it. Elements of
// arrays are checked by the struct that has the array.
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

// DescribeBounds returns the bounds of a key for its documentation: a space and the bounds in parentheses, or "" for a key
// without bounds.
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
