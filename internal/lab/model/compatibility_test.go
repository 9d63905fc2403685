package model

import (
	"testing"

	"dykering/internal/fixture"
)

// Result files of released builds can be read and are written in the same form.
func TestResultKeepsFormOfReleasedBuild(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/result.json", &Result{})
}
