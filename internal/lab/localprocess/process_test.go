package localprocess

import "testing"

// Scenarios kill all their processes at the end, so Kill must also work on a process whose start failed.
func TestProcessThatCannotBeStartedCanBeKilled(t *testing.T) {
	processes, err := New(t.Context(), Layout{Directory: t.TempDir(), Controls: 1, Bounds: ShortBounds()})
	if err != nil {
		t.Fatal(err)
	}
	if err := processes[0].Start(Program{Command: []string{"no-such-program"}}); err == nil {
		t.Error("a program that does not exist was started")
	}
	processes[0].Kill()
}
