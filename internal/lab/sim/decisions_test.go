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

// The fixture holds what came of the same scenarios with the build of commit bfb03d8, in the form of the
// laboratory's result files, whose names stay.

const (
	frozenSeeds    = 2
	frozenDuration = 12 * time.Second
)

// frozenScenarios are those that are played: the built-in one and files of the laboratory.
func frozenScenarios(t *testing.T) []*scenario.Scenario {
	t.Helper()
	all := []*scenario.Scenario{scenario.Default()}
	for _, file := range []string{"storm.toml", "fleet.toml", "fleet-flood.toml", "size-storm.toml"} {
		s, faults := scenario.Load(filepath.Join("../../../lab/scenarios", file))
		if len(faults) > 0 {
			t.Fatalf("%s: %v", file, faults)
		}
		all = append(all, s)
	}
	return all
}

// For the same scenario and seed the broker's decisions lead to the same result.
func TestResultsMatchThoseOfReleasedBuild(t *testing.T) {
	var text strings.Builder
	for _, s := range frozenScenarios(t) {
		s.Duration = min(s.Duration, tomlconfig.Duration(frozenDuration))
		for seed := range uint64(frozenSeeds) {
			result, err := Run(t.Context(), s, seed, Balancer)
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
