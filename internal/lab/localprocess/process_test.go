package localprocess

import "testing"

// What is left of a process that could not be started can be killed: scenarios kill all their processes in the end.
func TestProcessThatCannotBeStartedCanBeKilled(t *testing.T) {
	processes, err := New(t.Context(), Layout{Directory: t.TempDir(), Controls: 1, Bounds: ShortBounds()})
	if err != nil {
		t.Fatal(err)
	}
	if err := processes[0].Start(Program{Command: []string{"no-such-program"}}); err == nil {
		t.Error("it was started")
	}
	processes[0].Kill()
}
