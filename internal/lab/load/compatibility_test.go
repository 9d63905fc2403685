package load

import (
	"testing"

	"dykering/internal/fixture"
)

// The report of a load has the form of released builds.
func TestLoadReportOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/report.json", &Report{})
}
