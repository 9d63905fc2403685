package operator

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"dykering/internal/tomlconfig"
	"dykering/internal/validation"
)

// File is a file that has been read and checked, or the defaults.
type File struct {
	sections map[string]any
	sources  tomlconfig.Sources
}

// Section is the part of a file that a section's owner reads: a pointer of the type that its defaults have.
func Section[T any](f *File, name string) *T { return f.sections[name].(*T) }

// Defaults is what holds without a file.
func Defaults() *File { return whole(root(), nil) }

// root makes a struct of the whole file: the version, and a pointer to each section.
func root() reflect.Value {
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
	v := reflect.New(reflect.StructOf(fields))
	for i, s := range sections {
		v.Elem().Field(i + 1).Set(reflect.ValueOf(s.defaults()))
	}
	return v
}

func whole(root reflect.Value, from tomlconfig.Sources) *File {
	f := &File{sections: map[string]any{}, sources: from}
	for i, s := range sections {
		f.sections[s.name] = root.Elem().Field(i + 1).Interface()
	}
	return f
}

// Load reads a file. A reference to the environment is looked up with getenv.
func Load(path string, getenv func(string) (string, bool)) (*File, []validation.Error) {
	data, wrong := tomlconfig.Read(path)
	if len(wrong) > 0 {
		return nil, wrong
	}
	return Parse(path, data, getenv)
}

// Parse reads the text of a file, and finds all its faults.
func Parse(path string, data []byte, getenv func(string) (string, bool)) (*File, []validation.Error) {
	got, from, wrong := tomlconfig.DecodeAny(path, data, func() any { return root().Interface() }, getenv)
	if len(wrong) > 0 {
		return nil, wrong
	}
	return whole(reflect.ValueOf(got), from), nil
}

// Values are those of all keys but the version, and where they come from.
func (f *File) Values() (all []tomlconfig.Value) {
	for _, s := range sections {
		all = append(all, tomlconfig.Values(s.name, f.sections[s.name], f.sources)...)
	}
	return all
}

// Change is a key whose value has changed.
type Change struct{ Key, From, To string }

// Changes are what differs between one file and the next. Of a secret it is told that it has changed.
func Changes(from, to *File) (all []Change) {
	old := map[string]tomlconfig.Value{}
	for _, v := range from.Values() {
		old[v.Key] = v
	}
	for _, v := range to.Values() {
		if was, ok := old[v.Key]; !ok || was.Unmasked != v.Unmasked {
			all = append(all, Change{v.Key, was.Text, v.Text})
		}
		delete(old, v.Key)
	}
	for _, key := range slices.Sorted(maps.Keys(old)) {
		all = append(all, Change{key, old[key].Text, ""})
	}
	return all
}
