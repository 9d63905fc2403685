package explore

import (
	"testing"
	"time"

	"dykering/internal/fixture"
	"dykering/internal/lab/scenario"
)

// setRanges sets the ranges of an injected fault, which are written as text. It reports false for other types.
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

// A record of a search of a released build is read, and written again without a difference.
func TestSearchRecordKeepsFormOfReleasedBuild(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/record.json", &Record{}, setRanges)
}

// The scenario file of a schedule has the same text as in released builds, so that it replays the same find.
func TestScheduleTextKeepsFormOfReleasedBuild(t *testing.T) {
	var s Schedule
	fixture.Fill(&s, setRanges)
	s.Entries[0].Injected.Kind = "bytes"
	text := s.Text()
	if released := fixture.Bytes(t, "testdata/compatibility/schedule.toml", func() []byte { return []byte(text) }); string(released) != text {
		t.Errorf("the text of the schedule differs from that of the released build:\nreleased\n%s\nnow\n%s", released, text)
	}
}
