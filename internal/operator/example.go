package operator

import (
	"fmt"
	"strings"

	"dykering/internal/tomlconfig"
)

const exampleHeader = `# All keys with their defaults. Durations and sizes have units (250ms, 16MiB). The value "${NAME}" is replaced
# by the environment variable NAME. On SIGHUP the process reads this file again.

version = %d
`

// commentedOut is the prefix of the keys of arrays of tables, since these arrays are empty by default.
const commentedOut = "# "

// Example returns the content of a file with every key, its documentation, its bounds and its default.
func Example() string {
	var example strings.Builder
	fmt.Fprintf(&example, exampleHeader, Version)
	for _, s := range sections {
		s.writeExample(&example)
	}
	return example.String()
}

func (s section) writeExample(example *strings.Builder) {
	fmt.Fprintf(example, "\n# %s\n[%s]\n", s.doc, s.name)
	lastArray := ""
	for _, key := range tomlconfig.Keys(s.defaults()) {
		prefix, name := "", key.Name
		if array, inner, isInArray := strings.Cut(key.Name, "[]."); isInArray {
			prefix, name = commentedOut, inner
			if array != lastArray {
				lastArray = array
				fmt.Fprintf(example, "%s[[%s.%s]]\n", commentedOut, s.name, array)
			}
		}
		fmt.Fprintf(example, "# %s%s\n", key.Field.Tag.Get("doc"), tomlconfig.DescribeBounds(key.Field))
		fmt.Fprintf(example, "%s%s = %s\n", prefix, name, tomlconfig.Format(key.Value))
	}
}
