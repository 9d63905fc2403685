package explore

import (
	"testing"
	"time"

	"dykering/internal/fixture"
	"dykering/internal/lab/scenario"
)

// setRanges sets the ranges of a trouble, which are written as text.
func setRanges(pointer any) bool {
	switch value := pointer.(type) {
	case *scenario.DurationRange:
		*value = scenario.DurationRange{From: time.Second, To: 2 * time.Second}
	case *scenario.Range:
		*value = scenario.Range{From: 3, To: 4}
	default:
		return false
	}
	return true
}

// The file of runs of a search that a released build has begun is read, and gone on with.
func TestSearchRecordKeepsFormOfReleasedBuild(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/record.json", &Record{}, setRanges)
}

// The text of a schedule, that replays a find, is that of released builds.
func TestScheduleTextKeepsFormOfReleasedBuild(t *testing.T) {
	var s Schedule
	fixture.Fill(&s, setRanges)
	s.Entries[0].What.Kind = "bytes"
	text := s.Text()
	if old := fixture.Bytes(t, "testdata/compatibility/schedule.toml", func() []byte { return []byte(text) }); string(old) != text {
		t.Errorf("was\n%s\nnow\n%s", old, text)
	}
}
