package load

import (
	"testing"

	"dykering/internal/fixture"
)

// A report of a released build is read and written again without a difference.
func TestLoadReportOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/report.json", &Report{})
}
