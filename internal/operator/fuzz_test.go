package operator

import (
	"strings"
	"testing"
)

// FuzzParse checks that Parse returns either a file or errors with valid line numbers, and that parsing an accepted file
// again yields the same values.
func FuzzParse(f *testing.F) {
	f.Add([]byte(Example()))
	f.Add([]byte("version = 1\n[log]\nlevel = \"debug\"\n"))
	f.Add([]byte("version = 1\n[log]\nlevel = \"${NOT_SET}\"\nunknown = 1\n[log]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		getenv := func(string) (string, bool) { return "", false }
		got, wrong := Parse("f", text, getenv)
		if (got == nil) != (len(wrong) > 0) {
			t.Fatalf("%q: want a file or errors, got %d errors", text, len(wrong))
		}
		lines := 1 + strings.Count(string(text), "\n")
		for _, w := range wrong {
			if w.Line < 0 || w.Line > lines || w.Text == "" {
				t.Errorf("%q: %+v", text, w)
			}
		}
		if got != nil {
			again, _ := Parse("f", text, getenv)
			if changes := Changes(got, again); len(changes) > 0 {
				t.Errorf("%q: parsed again, the values differ: %v", text, changes)
			}
		}
	})
}
