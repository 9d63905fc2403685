package model

import (
	"testing"

	"dykering/internal/fixture"
)

// The result of a run keeps the JSON form of the journals that released builds wrote.
func TestResultKeepsFormOfReleasedBuild(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/result.json", &Result{})
}
