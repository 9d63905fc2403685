package main

import (
	"testing"

	"dykering/internal/fixture"
)

func TestCommandsAndFlagsAreThoseOfThePage(t *testing.T) {
	fixture.SameCommands(t, "../../docs/FIXED.md", "Commands of dykering-lab", newRoot(nil))
}
