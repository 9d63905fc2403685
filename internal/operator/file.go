package operator

import (
	"fmt"
	"reflect"

	"dykering/internal/tomlconfig"
	"dykering/internal/validation"
)

// File holds the validated content of a settings file, or the defaults.
type File struct {
	sections map[string]any
	sources  tomlconfig.Sources
}

// Section returns a section of a file by its name. T is the type that the section's defaults point to; Section panics for
// another type.
func Section[T any](f *File, name string) *T { return f.sections[name].(*T) }

// Defaults returns the settings that apply without a file.
func Defaults() *File { return newFile(newRoot(), nil) }

// Load reads and decodes a file. getenv looks up the environment variables that the file refers to.
func Load(path string, getenv func(string) (string, bool)) (*File, []validation.Error) {
	data, errs := tomlconfig.Read(path)
	if len(errs) > 0 {
		return nil, errs
	}
	return Parse(path, data, getenv)
}

// Parse decodes the content of a file and returns either a File or all errors. path is used only in errors and sources.
func Parse(path string, data []byte, getenv func(string) (string, bool)) (*File, []validation.Error) {
	root, sources, errs := tomlconfig.DecodeAny(path, data, func() any { return newRoot().Interface() }, getenv)
	if len(errs) > 0 {
		return nil, errs
	}
	return newFile(reflect.ValueOf(root), sources), nil
}

// newRoot returns a pointer to a struct for the complete file. Its fields are the version and a pointer to the defaults of
// each section.
func newRoot() reflect.Value {
	fields := []reflect.StructField{{
		Name: "Version", Type: reflect.TypeFor[int](),
		Tag: reflect.StructTag(fmt.Sprintf(`toml:"version" min:"%d" max:"%d"`, Version, Version)),
	}}
	for _, s := range sections {
		fields = append(fields, reflect.StructField{
			Name: "S_" + s.name, Type: reflect.TypeOf(s.defaults()),
			Tag: reflect.StructTag(fmt.Sprintf("toml:%q", s.name)),
		})
	}
	root := reflect.New(reflect.StructOf(fields))
	for i, s := range sections {
		root.Elem().Field(i + 1).Set(reflect.ValueOf(s.defaults()))
	}
	return root
}

// newFile returns a File with the sections of a struct that newRoot created.
func newFile(root reflect.Value, sources tomlconfig.Sources) *File {
	f := &File{sections: map[string]any{}, sources: sources}
	for i, s := range sections {
		f.sections[s.name] = root.Elem().Field(i + 1).Interface()
	}
	return f
}

// Values returns the values of all keys except the version, with their sources.
func (f *File) Values() []tomlconfig.Value {
	var values []tomlconfig.Value
	for _, s := range sections {
		values = append(values, tomlconfig.Values(s.name, f.sections[s.name], f.sources)...)
	}
	return values
}
