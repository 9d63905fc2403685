package gobcompat

import (
	"fmt"
	"reflect"
)

// elements is the number of elements in a filled slice or map.
const elements = 2

// Filler makes values without zero fields. The values of the fields differ from one another, as far as their types allow.
type Filler struct {
	// Interface is the concrete type of the values of interface fields.
	Interface reflect.Type
	last      int
}

// New returns a filled value of a type.
func (f *Filler) New(of reflect.Type) reflect.Value {
	value := reflect.New(of).Elem()
	f.fill(value)
	return value
}

func (f *Filler) fill(value reflect.Value) {
	f.last++
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.last))
	case reflect.Uint8:
		value.SetUint(uint64(f.last%0xff + 1))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.last))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.last) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprintf("text %d", f.last))
	case reflect.Interface:
		value.Set(f.New(f.Interface))
	default:
		f.fillComposite(value)
	}
}

func (f *Filler) fillComposite(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			f.fill(value.Field(i))
		}
	case reflect.Array:
		for i := range value.Len() {
			f.fill(value.Index(i))
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), elements, elements))
		for i := range elements {
			f.fill(value.Index(i))
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		for range elements {
			value.SetMapIndex(f.New(value.Type().Key()), f.New(value.Type().Elem()))
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem())
	default:
		panic("gobcompat: no value for " + value.Type().String())
	}
}
