package trial

import (
	"testing"

	"dykering/internal/fixture"
)

// The bench's report, as it is kept of one play, has the form of the results of released builds.
func TestReportOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/report.json", &Report{})
}
