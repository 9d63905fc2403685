package wire

import (
	"strings"
	"testing"
)

// FuzzRun checks that any input gets the same output and error each time, and that there are no more replies than
// complete batches.
func FuzzRun(f *testing.F) {
	f.Add(batch("1000000", oneEndpoint...))
	f.Add(batch("1000000", withOneEndpoint("knock 3 t/a 0 - - 2000000 - 0")...) +
		batch("1020000", "closed_attempt 3 t/a 77 1 20000 100 0 -"))
	f.Add("begin_batch 5\nnonsense\nover_to_you\n")
	f.Fuzz(func(t *testing.T, input string) {
		if len(input) > 64<<10 {
			return
		}
		out, _, errText := run(t, input)
		secondOut, _, secondErrText := run(t, input)
		if out != secondOut || errText != secondErrText {
			t.Fatalf("input %q: output %q and error %q, in the second run %q and %q", input, out, errText, secondOut, secondErrText)
		}
		if replies := strings.Count("\n"+out, "\neor\n"); replies > strings.Count(input, "over_to_you") {
			t.Errorf("input %q: %d replies are more than the batches", input, replies)
		}
	})
}
