package sidecar

import (
	"testing"

	"dykering/internal/fixture"
	"dykering/internal/operator"
)

// Each key of the operator's file is read under its released name and with its released unit. The fixture sets each key to
// a value other than the default.
func TestOperatorFileOfReleasedBuildIsReadByItsKeys(t *testing.T) {
	file, errs := operator.Load("testdata/compatibility/operator.toml", func(string) (string, bool) { return "", false })
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	values, defaults := map[string]string{}, map[string]string{}
	for _, value := range file.Values() {
		values[value.Key] = value.Text
	}
	for _, value := range operator.Defaults().Values() {
		defaults[value.Key] = value.Text
		if value.Text == values[value.Key] {
			t.Errorf("%s: the fixture has the default value", value.Key)
		}
	}
	fixture.Golden(t, "testdata/compatibility/operator.json", values)
	fixture.Golden(t, "testdata/compatibility/operator-defaults.json", defaults)
}

// The counters in the fleet answers have the same JSON keys as in released builds.
func TestCountersOfReleasedBuildAreWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/view-counters.json", &viewCounters{})
	fixture.JSON(t, "testdata/compatibility/facts-counters.json", &factsCounters{})
}
