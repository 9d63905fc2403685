package decision

import (
	"testing"

	"dykering/internal/fixture"
)

// The statistics that a process hands to its successor have the form that released builds write and read.
func TestSnapshotOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/learnt.json", &Snapshot{})
}
