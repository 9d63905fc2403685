package decision

import (
	"testing"

	"dykering/internal/fixture"
)

// The snapshot that a process passes to its successor has the format that released builds read and write.
func TestSnapshotOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/learnt.json", &Snapshot{})
}
