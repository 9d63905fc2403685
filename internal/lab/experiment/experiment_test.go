package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dykering/internal/lab/model"
)

const small = `version = 1
name = "small"
scenario = "s.toml"
seeds = 3

[[side]]
name = "dykering"

[[side]]
name = "random"
policy = "random"

[[side]]
name = "patient"
set = ["callers.tries = 1", "kind[0].queue = 200"]

[[sweep]]
name = "instances"
keys = ["broker.instances", "callers.rate"]
values = ["2 60..70", "3 90"]
`

// newFolder creates a folder with an experiment and its scenario, a short form of storm.toml.
func newFolder(t *testing.T, text string) (dir, path string) {
	t.Helper()
	dir = t.TempDir()
	s, err := os.ReadFile("../../../lab/scenarios/storm.toml")
	if err != nil {
		t.Fatal(err)
	}
	s = []byte(strings.Replace(string(s), `lasts = "40s"`, `lasts = "3s"`, 1))
	path = filepath.Join(dir, "e.toml")
	if err := errors.Join(os.WriteFile(filepath.Join(dir, "s.toml"), s, 0o600), os.WriteFile(path, []byte(text), 0o600)); err != nil {
		t.Fatal(err)
	}
	return dir, path
}

// formatWithoutTimes formats runs without the time that they took.
func formatWithoutTimes(t *testing.T, runs []Run) string {
	t.Helper()
	lines := map[string]string{}
	for _, r := range runs {
		r.Took = 0
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if lines[r.key()] != "" {
			t.Errorf("%s was played twice", r.key())
		}
		lines[r.key()] = string(text)
	}
	text, _ := json.Marshal(lines) // sorted by key
	return string(text)
}

// An experiment that was interrupted, even within a line of its file, continues with the missing runs and ends
// with the same runs as an uninterrupted one. The results do not depend on how many runs are played at a time.
func TestInterruptedExperimentContinues(t *testing.T) {
	_, path := newFolder(t, small)
	e, problems := Load(path)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	self := []string{os.Args[0]}
	ignoreProgress := func(int, int) {}
	uninterrupted, err := e.Play(t.Context(), t.TempDir(), self, 1, ignoreProgress)
	if err != nil || len(uninterrupted) != 18 {
		t.Fatalf("%d runs, want 18; error %v", len(uninterrupted), err)
	}
	out := t.TempDir()
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := e.Play(ctx, out, self, 3, func(done, _ int) {
		if done == 7 {
			cancel()
		}
	}); !errors.Is(err, context.Canceled) {
		t.Fatalf("error of the cancelled experiment: %v", err)
	}
	file := filepath.Join(out, RunsFile)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text[:len(text)-20], 0o600); err != nil {
		t.Fatal(err)
	}
	_, recorded, err := ReadRuns(out)
	if err != nil || len(recorded) < 6 || len(recorded) > 12 {
		t.Fatalf("%d runs recorded, want 6 to 12; error %v", len(recorded), err)
	}
	played := 0
	runs, err := e.Play(t.Context(), out, self, 4, func(int, int) { played++ })
	if err != nil || played != 18-len(recorded) || formatWithoutTimes(t, runs) != formatWithoutTimes(t, uninterrupted) {
		t.Errorf("%d runs played after %d recorded ones, or other results; error %v", played, len(recorded), err)
	}
	// The runs of another experiment are neither continued nor changed.
	e.text = append(e.text, '\n')
	if _, err := e.Play(t.Context(), out, self, 1, ignoreProgress); err == nil || !strings.Contains(err.Error(), "another experiment") {
		t.Errorf("playing into a folder of another experiment: error %v", err)
	}
	if _, left, err := ReadRuns(out); err != nil || len(left) != 18 {
		t.Errorf("%d runs left, want 18; error %v", len(left), err)
	}
	if _, err := e.Write(out, runs); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"table.md", "table.csv", "index.html", "service.svg", "time-1.svg"} {
		text, err := os.ReadFile(filepath.Join(out, name))
		if err != nil || len(text) < 300 || strings.Contains(string(text), "NaN") && strings.HasSuffix(name, "md") {
			t.Errorf("%s is missing, too short or contains NaN: %d bytes, error %v", name, len(text), err)
		}
		if strings.HasSuffix(name, "html") && (bytes.Count(text, []byte("<svg")) != 5 || bytes.Contains(text, []byte("src="))) {
			t.Errorf("%s is not self-contained", name)
		}
	}
}

// Load reports an invalid experiment with the key or value that is wrong, before any run is played.
func TestLoadReportsInvalidExperiments(t *testing.T) {
	for from, want := range map[string][2]string{
		`scenario = "s.toml"`: {`scenario = "none.toml"`, "no such file"},
		`policy = "random"`:   {`policy = "best"`, "side[1].policy"},
		`name = "random"`:     {`name = "dykering"`, "side[1].name"},
		"seeds = 3":           {"seeds = 10000\nfirst_sede = 1", "is first_seed meant?"},
		"3 90":                {"3", `"3" has 1 values for 2 keys`},
		"2 60..70":            {"2 70..60", "callers.rate"},
		"kind[0].queue":       {"kind[7].queue", "there is no kind[7]"},
		"callers.tries = 1":   {"callers.trise = 1", "is callers.tries meant?"},
		`"callers.rate"`:      {`"callers.lats"`, "callers.lats"},
	} {
		_, path := newFolder(t, strings.Replace(small, from, want[0], 1))
		if _, problems := Load(path); len(problems) == 0 || !strings.Contains(problems[0].Error(), want[1]) {
			t.Errorf("experiment with %s: errors %v, want one with %q", want[0], problems, want[1])
		}
	}
	if _, _, err := ReadRuns(t.TempDir()); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("reading a folder without runs: error %v", err)
	}
}

// Verdicts are better, worse, noise or too few seeds. The estimate is compared with a value computed by hand:
// the differences 1, 2 and 3 have the mean 2 and the deviation 1, and Student's t for two degrees of freedom
// is 4.303, so that the half width is 2.484.
func TestCompareGivesVerdicts(t *testing.T) {
	run := func(side string, seed uint64, service float64) Run {
		return Run{Side: side, Seed: seed, Result: &model.Result{Offered: 100, Service: service, WorstSecond: 0.5, RecoverySeconds: 1}}
	}
	if e := EstimateOf([]float64{1, 2, 3}); e.Mean != 2 || math.Abs(e.HalfWidth-2.484) > 0.001 {
		t.Errorf("estimate of 1, 2 and 3: %+v, want mean 2 and half width 2.484", e)
	}
	for name, tc := range map[string]struct {
		before, after []float64
		want          string
	}{
		"better":        {[]float64{0.5, 0.6, 0.9}, []float64{0.6, 0.71, 0.99}, "better"}, // the variation between seeds does not count, since runs are paired by seed
		"worse":         {[]float64{0.6, 0.71, 0.99}, []float64{0.5, 0.6, 0.9}, "worse"},
		"noise":         {[]float64{0.5, 0.6, 0.7}, []float64{0.6, 0.5, 0.72}, "noise"},
		"equal":         {[]float64{0.5, 0.6, 0.7}, []float64{0.5, 0.6, 0.7}, "noise"},
		"too few seeds": {[]float64{0.5}, []float64{0.9}, "too few seeds"},
	} {
		var a, b []Run
		for i := range tc.before {
			a, b = append(a, run("x", uint64(i), tc.before[i])), append(b, run("x", uint64(i), tc.after[i]))
		}
		rows, err := Compare(a, b)
		if err != nil || rows[0].Metric != "service" || rows[0].Verdict != tc.want {
			t.Errorf("%s: rows %+v, error %v, want verdict %q", name, rows, err, tc.want)
		}
	}
	if _, err := Compare([]Run{run("x", 1, 1)}, []Run{run("y", 1, 1)}); err == nil {
		t.Error("Compare returns no error for results without a common side")
	}
	if _, err := Compare([]Run{run("x", 1, 1)}, []Run{run("x", 2, 1)}); err == nil {
		t.Error("Compare returns no error for results without a common seed")
	}
}

// The experiments of this repository are valid.
func TestExperimentFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../lab/experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		if _, problems := Load(f); len(problems) > 0 {
			t.Error(problems)
		}
	}
}
