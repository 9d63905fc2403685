package wire

import (
	"strings"
	"testing"
)

// FuzzRun: whatever the simulator says, the adapter answers each batch that it takes whole with one end of its replies,
// names what it cannot read, and says the same when it is asked again.
func FuzzRun(f *testing.F) {
	f.Add(batch("1000000", one...))
	f.Add(batch("1000000", with("knock 3 t/a 0 - - 2000000 - 0")...) + batch("1020000", "closed_attempt 3 t/a 77 1 20000 100 0 -"))
	f.Add("begin_batch 5\nnonsense\nover_to_you\n")
	f.Fuzz(func(t *testing.T, input string) {
		if len(input) > 64<<10 {
			return
		}
		out, _, fault := run(t, input)
		again, _, same := run(t, input)
		if out != again || fault != same {
			t.Fatalf("%q: %q and %q, then %q and %q", input, out, fault, again, same)
		}
		if ends := strings.Count("\n"+out, "\neor\n"); ends > strings.Count(input, "over_to_you") {
			t.Errorf("%q: %d ends of replies", input, ends)
		}
	})
}
