package operator

import (
	"slices"
	"strings"
)

// Version is the version of the file format, which the file states under the key version.
const Version = 1

// section is a table of the file.
type section struct {
	name, doc string
	defaults  func() any // returns a pointer to a struct, as tomlconfig.Decode requires
}

// sections are the registered sections, sorted by name.
var sections []section

// Register adds a section to the file. The package that owns the section calls it from its init function. defaults
// returns a pointer to a new struct with the values of keys that the file omits; see tomlconfig for its tags. The struct may
// implement tomlconfig.Checker. Register panics if the name is already registered.
func Register(name, doc string, defaults func() any) {
	if slices.ContainsFunc(sections, func(s section) bool { return s.name == name }) {
		panic("operator: section " + name + " is registered twice")
	}
	sections = append(sections, section{name: name, doc: doc, defaults: defaults})
	slices.SortFunc(sections, func(a, b section) int { return strings.Compare(a.name, b.name) })
}
