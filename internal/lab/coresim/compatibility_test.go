package coresim

import (
	"testing"

	"dykering/internal/fixture"
)

// A written schedule, that replays a failure of the core, has the form of released builds.
func TestScheduleOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/schedule.json", &Schedule{})
}
