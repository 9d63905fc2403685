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

// folder is a folder with an experiment and its scenario.
func folder(t *testing.T, text string) (dir, path string) {
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

// withoutClock renders runs without what a clock says.
func withoutClock(t *testing.T, runs []Run) string {
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

// An experiment that is cut off, in the middle of a line too, goes on where it was, and ends as one that was not; each
// run is the same however many play beside it.
func TestGoesOnWhereItWas(t *testing.T) {
	_, path := folder(t, small)
	e, wrong := Load(path)
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	self := []string{os.Args[0]}
	nothing := func(int, int) {}
	whole, err := e.Play(t.Context(), t.TempDir(), self, 1, nothing)
	if err != nil || len(whole) != 18 {
		t.Fatalf("%d runs, %v", len(whole), err)
	}
	out := t.TempDir()
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := e.Play(ctx, out, self, 3, func(done, _ int) {
		if done == 7 {
			cancel()
		}
	}); !errors.Is(err, context.Canceled) {
		t.Fatalf("called off: %v", err)
	}
	file := filepath.Join(out, RunsFile)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text[:len(text)-20], 0o600); err != nil {
		t.Fatal(err)
	}
	_, kept, err := ReadRuns(out)
	if err != nil || len(kept) < 6 || len(kept) > 12 {
		t.Fatalf("kept %d, %v", len(kept), err)
	}
	played := 0
	runs, err := e.Play(t.Context(), out, self, 4, func(int, int) { played++ })
	if err != nil || played != 18-len(kept) || withoutClock(t, runs) != withoutClock(t, whole) {
		t.Errorf("%d played after %d, %v", played, len(kept), err)
	}
	// What another experiment has played is not taken up, and not touched.
	e.text = append(e.text, '\n')
	if _, err := e.Play(t.Context(), out, self, 1, nothing); err == nil || !strings.Contains(err.Error(), "another experiment") {
		t.Errorf("another's runs: %v", err)
	}
	if _, again, err := ReadRuns(out); err != nil || len(again) != 18 {
		t.Errorf("%d runs are left, %v", len(again), err)
	}
	if _, err := e.Write(out, runs); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"table.md", "table.csv", "index.html", "service.svg", "time-1.svg"} {
		text, err := os.ReadFile(filepath.Join(out, name))
		if err != nil || len(text) < 300 || strings.Contains(string(text), "NaN") && strings.HasSuffix(name, "md") {
			t.Errorf("%s: %d bytes, %v", name, len(text), err)
		}
		if strings.HasSuffix(name, "html") && (bytes.Count(text, []byte("<svg")) != 5 || bytes.Contains(text, []byte("src="))) {
			t.Errorf("%s is not self-contained", name)
		}
	}
}

// What is wrong is named before anything is played.
func TestFaults(t *testing.T) {
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
		_, path := folder(t, strings.Replace(small, from, want[0], 1))
		if _, wrong := Load(path); len(wrong) == 0 || !strings.Contains(wrong[0].Error(), want[1]) {
			t.Errorf("%s: %v, want %q", want[0], wrong, want[1])
		}
	}
	if _, _, err := ReadRuns(t.TempDir()); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no runs: %v", err)
	}
}

// Better, worse and noise, against figures worked out by hand: of the differences 1, 2, 3 the mean is 2, the deviation
// 1, and Student's t for two degrees of freedom 4.303, so that the half width is 2.484.
func TestVerdicts(t *testing.T) {
	run := func(side string, seed uint64, service float64) Run {
		return Run{Side: side, Seed: seed, Result: &model.Result{Offered: 100, Service: service, WorstSecond: 0.5, RecoverySeconds: 1}}
	}
	if e := EstimateOf([]float64{1, 2, 3}); e.Mean != 2 || math.Abs(e.HalfWidth-2.484) > 0.001 {
		t.Errorf("%+v", e)
	}
	for name, tc := range map[string]struct {
		before, after []float64
		want          string
	}{
		"better":        {[]float64{0.5, 0.6, 0.9}, []float64{0.6, 0.71, 0.99}, "better"}, // the spread over seeds is no noise: they are paired
		"worse":         {[]float64{0.6, 0.71, 0.99}, []float64{0.5, 0.6, 0.9}, "worse"},
		"noise":         {[]float64{0.5, 0.6, 0.7}, []float64{0.6, 0.5, 0.72}, "noise"},
		"the same":      {[]float64{0.5, 0.6, 0.7}, []float64{0.5, 0.6, 0.7}, "noise"},
		"too few seeds": {[]float64{0.5}, []float64{0.9}, "too few seeds"},
	} {
		var a, b []Run
		for i := range tc.before {
			a, b = append(a, run("x", uint64(i), tc.before[i])), append(b, run("x", uint64(i), tc.after[i]))
		}
		rows, err := Compare(a, b)
		if err != nil || rows[0].Metric != "service" || rows[0].Verdict != tc.want {
			t.Errorf("%s: %+v, %v", name, rows, err)
		}
	}
	if _, err := Compare([]Run{run("x", 1, 1)}, []Run{run("y", 1, 1)}); err == nil {
		t.Error("nothing in common, and no word of it")
	}
	if _, err := Compare([]Run{run("x", 1, 1)}, []Run{run("x", 2, 1)}); err == nil {
		t.Error("no seed in both, and no word of it")
	}
}

// The laboratory's own experiments can be played.
func TestExperimentsHaveNoFault(t *testing.T) {
	files, err := filepath.Glob("../../../lab/experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		if _, wrong := Load(f); len(wrong) > 0 {
			t.Error(wrong)
		}
	}
}
