package gobcompat

import (
	"reflect"

	"github.com/pkg/errors"
)

// Schema is the structure of a type as gob sees it: kinds and names of fields. Its form in JSON is stored in fixtures.
type Schema struct {
	Kind    string  `json:"kind"`
	Fields  []Field `json:"fields,omitempty"`  // of a struct
	Key     *Schema `json:"key,omitempty"`     // of a map
	Element *Schema `json:"element,omitempty"` // of a list, a map or a pointer
	Length  int     `json:"length,omitempty"`  // of an array
}

// Field is a field of a struct.
type Field struct {
	Name   string `json:"name"`
	Schema Schema `json:"schema"`
}

// SchemaOf describes a type. Types must not contain themselves.
func SchemaOf(of reflect.Type) Schema {
	s := Schema{Kind: of.Kind().String()}
	switch of.Kind() {
	case reflect.Struct:
		for i := range of.NumField() {
			s.Fields = append(s.Fields, Field{Name: of.Field(i).Name, Schema: SchemaOf(of.Field(i).Type)})
		}
	case reflect.Map:
		key := SchemaOf(of.Key())
		s.Key = &key
	case reflect.Array:
		s.Length = of.Len()
	}
	switch of.Kind() {
	case reflect.Slice, reflect.Array, reflect.Map, reflect.Pointer:
		element := SchemaOf(of.Elem())
		s.Element = &element
	}
	return s
}

// scalars are the types of the kinds without elements.
var scalars = func() map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for _, of := range []reflect.Type{
		reflect.TypeFor[bool](), reflect.TypeFor[string](), reflect.TypeFor[any](),
		reflect.TypeFor[int](), reflect.TypeFor[int8](), reflect.TypeFor[int16](), reflect.TypeFor[int32](), reflect.TypeFor[int64](),
		reflect.TypeFor[uint](), reflect.TypeFor[uint8](), reflect.TypeFor[uint16](), reflect.TypeFor[uint32](), reflect.TypeFor[uint64](),
		reflect.TypeFor[float32](), reflect.TypeFor[float64](),
	} {
		types[of.Kind().String()] = of
	}
	return types
}()

// Type makes a type of this structure, without any named types. It fails for a kind that no fixture has.
func (s *Schema) Type() (reflect.Type, error) {
	if scalar, ok := scalars[s.Kind]; ok {
		return scalar, nil
	}
	if s.Kind == reflect.Struct.String() {
		return s.structType()
	}
	if s.Element == nil {
		return nil, errors.Errorf("schema of kind %q", s.Kind)
	}
	element, err := s.Element.Type()
	if err != nil {
		return nil, err
	}
	switch s.Kind {
	case reflect.Slice.String():
		return reflect.SliceOf(element), nil
	case reflect.Array.String():
		return reflect.ArrayOf(s.Length, element), nil
	case reflect.Pointer.String():
		return reflect.PointerTo(element), nil
	}
	key, err := s.Key.Type()
	if err != nil {
		return nil, err
	}
	return reflect.MapOf(key, element), nil
}

func (s *Schema) structType() (reflect.Type, error) {
	var fields []reflect.StructField
	for _, field := range s.Fields {
		of, err := field.Schema.Type()
		if err != nil {
			return nil, errors.Wrapf(err, "field %s", field.Name)
		}
		fields = append(fields, reflect.StructField{Name: field.Name, Type: of})
	}
	return reflect.StructOf(fields), nil
}
