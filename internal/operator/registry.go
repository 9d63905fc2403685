// Package operator reads the operator's file: TOML, in sections that the packages that own them register. A file is
// taken whole or not at all, and every fault in it is named with its line and key.
package operator

import (
	"fmt"
	"slices"
	"strings"

	"dykering/internal/tomlconfig"
)

// Version is the version of the file's format, that its key version has to name.
const Version = 1

// section is a table of the file.
type section struct {
	name, doc string
	defaults  func() any // a pointer to a struct as tomlconfig.Decode wants it
}

var sections []section

// Register adds a section, by the package that owns it, from its init. Defaults makes a pointer to a struct with the
// values that hold where the file says nothing. The struct may be a tomlconfig.Checker.
func Register(name, doc string, defaults func() any) {
	if slices.ContainsFunc(sections, func(s section) bool { return s.name == name }) {
		panic("operator: section " + name + " is registered twice")
	}
	sections = append(sections, section{name, doc, defaults})
	slices.SortFunc(sections, func(a, b section) int { return strings.Compare(a.name, b.name) })
}

// Example is a file that names every key with what it is and its default.
func Example() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Every key with its default. Times and sizes have units (250ms, 16MiB); a value may be taken from the\n")
	fmt.Fprintf(&b, "# environment, as \"${NAME}\". SIGHUP has the file read again.\n\nversion = %d\n", Version)
	for _, s := range sections {
		fmt.Fprintf(&b, "\n# %s\n[%s]\n", s.doc, s.name)
		table := ""
		for _, k := range tomlconfig.Keys(s.defaults()) {
			mark, name := "", k.Name
			if array, inner, ok := strings.Cut(k.Name, "[]."); ok { // there is none by default
				if mark, name = "# ", inner; array != table {
					table = array
					fmt.Fprintf(&b, "# [[%s.%s]]\n", s.name, array)
				}
			}
			fmt.Fprintf(&b, "# %s%s\n%s%s = %s\n", k.Field.Tag.Get("doc"), tomlconfig.DescribeBounds(k.Field), mark, name, tomlconfig.Format(k.Value))
		}
	}
	return b.String()
}
