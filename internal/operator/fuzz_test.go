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
		got, errs := Parse("f", text, getenv)
		if (got == nil) != (len(errs) > 0) {
			t.Fatalf("%q: want a file or errors, got %d errors", text, len(errs))
		}
		lines := 1 + strings.Count(string(text), "\n")
		for _, e := range errs {
			if e.Line < 0 || e.Line > lines || e.Text == "" {
				t.Errorf("%q: %+v", text, e)
			}
		}
		if got != nil {
			parsedAgain, _ := Parse("f", text, getenv)
			if changes := Changes(got, parsedAgain); len(changes) > 0 {
				t.Errorf("%q: parsed again, the values differ: %v", text, changes)
			}
		}
	})
}
