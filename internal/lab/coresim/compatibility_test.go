package coresim

import (
	"testing"

	"dykering/internal/fixture"
)

// Schedule files of released builds, which replay a failure, can be read and are written in the same form.
func TestScheduleOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/schedule.json", &Schedule{})
}
