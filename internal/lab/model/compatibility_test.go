package model

import (
	"testing"

	"dykering/internal/fixture"
)

// The result of a run has the form that the journals of released builds hold.
func TestResultOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/result.json", &Result{})
}
