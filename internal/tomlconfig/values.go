package tomlconfig

import (
	"cmp"
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// maskedText is written in place of a secret.
const maskedText = `"***"`

// Value is the value of a key for display.
type Value struct {
	Key    string // with the indexes of arrays
	Text   string // formatted as in a file; masked if the key is secret
	Source string // as in Sources, or "default"
	Doc    string // the key's documentation

	Unmasked string // Text without the mask, for comparisons; must not be displayed
}

// Values returns the values of all keys of a struct, given by pointer. The keys have the name of the table as prefix. Values
// whose field has the tag secret are masked.
func Values(table string, root any, sources Sources) []Value {
	var values []Value
	for _, s := range settings(table, reflect.ValueOf(root).Elem(), presentElements) {
		text := Format(s.value)
		value := Value{Key: s.key, Text: text, Unmasked: text, Source: cmp.Or(sources[s.key], "default"), Doc: s.field.Tag.Get("doc")}
		if s.field.Tag.Get("secret") != "" {
			value.Text = maskedText
		}
		values = append(values, value)
	}
	return values
}

// Format returns a value in the syntax of a file.
func Format(value reflect.Value) string {
	if marshaler, ok := value.Interface().(encoding.TextMarshaler); ok {
		text, err := marshaler.MarshalText()
		if err != nil {
			return err.Error()
		}
		return strconv.Quote(string(text))
	}
	switch value.Kind() {
	case reflect.String:
		return strconv.Quote(value.String())
	case reflect.Slice:
		elements := make([]string, value.Len())
		for i := range elements {
			elements[i] = Format(value.Index(i))
		}
		return "[" + strings.Join(elements, ", ") + "]"
	}
	return fmt.Sprint(value.Interface())
}
