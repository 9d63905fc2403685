package sim

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dykering/internal/fixture"
	"dykering/internal/lab/scenario"
	"dykering/internal/tomlconfig"
)

// testdata/scenarios.jsonl contains the results of the same scenarios with the build of commit bfb03d8, in
// the format of the laboratory's result files.

// goldenRun is a scenario that is run for a duration with the first seeds.
type goldenRun struct {
	file     string // empty for the built-in scenario
	duration time.Duration
	seeds    uint64
}

// goldenRuns last long enough to include the injected faults of the scenarios, except for those with large
// fleets, which would take too long.
var goldenRuns = []goldenRun{
	{"", 12 * time.Second, 2},
	{"storm.toml", 12 * time.Second, 2},
	{"size-storm.toml", 12 * time.Second, 2},
	{"fleet.toml", 2 * time.Second, 1},
	{"fleet-flood.toml", 2 * time.Second, 1},
}

// scenario loads the scenario of a run.
func (r goldenRun) scenario(t *testing.T) *scenario.Scenario {
	t.Helper()
	s := scenario.Default()
	if r.file != "" {
		loaded, faults := scenario.Load(filepath.Join("../../../lab/scenarios", r.file))
		if len(faults) > 0 {
			t.Fatalf("%s: %v", r.file, faults)
		}
		s = loaded
	}
	s.Duration = tomlconfig.Duration(r.duration)
	return s
}

// The same scenario and seed have the same result as with the released build.
func TestResultsMatchThoseOfReleasedBuild(t *testing.T) {
	var text strings.Builder
	for _, run := range goldenRuns {
		for seed := range run.seeds {
			result, err := Run(t.Context(), run.scenario(t), seed, Balancer)
			if err != nil {
				t.Fatal(err)
			}
			line, err := json.Marshal(result)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&text, "%s\n", line)
		}
	}
	fixture.Text(t, "testdata/scenarios.jsonl", text.String())
}
