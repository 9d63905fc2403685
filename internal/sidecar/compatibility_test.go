package sidecar

import (
	"testing"

	"dykering/internal/fixture"
	"dykering/internal/operator"
)

// Each key of the operator's file is read, by its name and with its units: the file has a value other than the
// default for each.
func TestOperatorFileOfReleasedBuildIsReadByItsKeys(t *testing.T) {
	file, wrong := operator.Load("testdata/compatibility/operator.toml", func(string) (string, bool) { return "", false })
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	values, defaults := map[string]string{}, map[string]string{}
	for _, value := range file.Values() {
		values[value.Key] = value.Text
	}
	for _, value := range operator.Defaults().Values() {
		defaults[value.Key] = value.Text
		if value.Text == values[value.Key] {
			t.Errorf("%s: the fixture has its default", value.Key)
		}
	}
	fixture.Golden(t, "testdata/compatibility/operator.json", values)
	fixture.Golden(t, "testdata/compatibility/operator-defaults.json", defaults)
}

// The counters in the answers about the fleet have the keys of released builds.
func TestCountersOfReleasedBuildAreWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/view-counters.json", &viewCounters{})
	fixture.JSON(t, "testdata/compatibility/facts-counters.json", &factsCounters{})
}
