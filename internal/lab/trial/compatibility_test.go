package trial

import (
	"testing"

	"dykering/internal/fixture"
)

// Guards the JSON format of stored reports, so that results of released builds stay readable.
func TestReportOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/report.json", &Report{})
}
