package tomlconfig

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
)

// Key describes a key of a settings struct.
type Key struct {
	Name  string // with the names of its tables, such as log.level; [] stands for any index of an array
	Field reflect.StructField
	Value reflect.Value // default value
}

// Keys returns the keys of a struct in the order of its fields. root is a pointer to the struct.
func Keys(root any) []Key {
	var keys []Key
	for _, s := range settings("", reflect.ValueOf(root).Elem(), anyElement) {
		keys = append(keys, Key{Name: s.key, Field: s.field, Value: s.value})
	}
	return keys
}

// setting is a value of a struct that is not a table, with its key.
type setting struct {
	key   string
	field reflect.StructField
	value reflect.Value
}

// element is an element of an array of tables. index is the suffix of the array's name, such as [2].
type element struct {
	index string
	value reflect.Value
}

// presentElements returns the elements of an array.
func presentElements(array reflect.Value) []element {
	elements := make([]element, array.Len())
	for i := range elements {
		elements[i] = element{index: fmt.Sprintf("[%d]", i), value: array.Index(i)}
	}
	return elements
}

// anyElement returns a zero element with the index [], which represents all elements of an array.
func anyElement(array reflect.Value) []element {
	return []element{{index: "[]", value: reflect.Zero(array.Type().Elem())}}
}

// settings returns the settings of a struct and of the tables and arrays of tables in it, in the order of the fields. table
// is the name of the struct's table. elementsOf selects the elements of the arrays.
func settings(table string, root reflect.Value, elementsOf func(array reflect.Value) []element) []setting {
	var all []setting
	for _, f := range fieldsOf(root) {
		key := join(table, f.name)
		switch t := f.field.Type; {
		case isTable(t):
			all = append(all, settings(key, f.value, elementsOf)...)
		case t.Kind() == reflect.Slice && isTable(t.Elem()):
			for _, e := range elementsOf(f.value) {
				all = append(all, settings(key+e.index, e.value, elementsOf)...)
			}
		default:
			all = append(all, setting{key: key, field: f.field, value: f.value})
		}
	}
	return all
}

// taggedField is a field of a struct that has the tag toml. Pointers are dereferenced.
type taggedField struct {
	name  string // name in the tag
	field reflect.StructField
	value reflect.Value
}

// fieldsOf returns the fields of a struct that have the tag toml.
func fieldsOf(structure reflect.Value) []taggedField {
	var fields []taggedField
	for i := range structure.NumField() {
		f := taggedField{field: structure.Type().Field(i), value: structure.Field(i)}
		f.name, _, _ = strings.Cut(f.field.Tag.Get("toml"), ",")
		if f.name == "" || f.name == "-" {
			continue
		}
		if f.value.Kind() == reflect.Pointer {
			f.field.Type, f.value = f.field.Type.Elem(), f.value.Elem()
		}
		fields = append(fields, f)
	}
	return fields
}

// join returns the name of a key with the name of its table as prefix.
func join(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}

// isTable reports whether a type is written as a table in the file.
func isTable(t reflect.Type) bool { return t.Kind() == reflect.Struct && !isText(t) }

// isText reports whether the values of a type are written as a text.
func isText(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}
