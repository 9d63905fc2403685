package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dykering/internal/lab/load"
)

func command(args string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = execute(strings.Fields(args), &o, &e, nil)
	return code, o.String(), e.String()
}

// Guards the exit codes of the commands. A run must give the same result alone and beside concurrent runs.
func TestCommandsGiveTheirOutputAndExitCode(t *testing.T) {
	dir := t.TempDir()
	faulty, small := filepath.Join(dir, "faulty.toml"), filepath.Join(dir, "small.toml")
	text, err := os.ReadFile("../../lab/scenarios/release.toml")
	if err != nil {
		t.Fatal(err)
	}
	small4 := strings.Replace(string(text), `lasts = "40s"`, `lasts = "4s"`, 1)
	if err := os.WriteFile(small, []byte(small4), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(faulty, []byte(strings.Replace(string(text), "[servers]", "[srevers]", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		args string
		code int
		want string
	}{
		{"", 2, "a command is missing"},
		{"sim --sede 3", 2, "--sede"},
		{"sim --policy best " + small, 2, "there is dykering, least, random, round-robin, two-choice"},
		{"check " + small, 0, ""},
		{"check " + small + " " + faulty, 1, ":9: srevers: not a key of this version; is servers meant?"},
		{"sim " + faulty, 1, "srevers"},
		{"sim --seeds 2 " + small, 0, "requests in"},
	} {
		code, out, errOut := command(tc.args)
		if code != tc.code || !strings.Contains(out+errOut, tc.want) {
			t.Errorf("%q: exit %d, %q", tc.args, code, out+errOut)
		}
	}
	_, alone, _ := command("sim --json --seed 8 " + small)
	_, beside, _ := command("sim --json --seed 7 --seeds 3 --policy dykering,least " + small)
	if !strings.Contains(beside, alone) || strings.Count(beside, "\n") != 6 {
		t.Error("a run gives another result beside concurrent runs")
	}
	var r map[string]any
	if err := json.Unmarshal([]byte(alone), &r); err != nil || r["policy"] != "dykering" || r["service"].(float64) < 0.9 {
		t.Errorf("%v, %v", r, err)
	}
}

// An experiment must write its tables and continue a finished run. Comparing its results with themselves must report only noise.
func TestRunAndCompare(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile("../../lab/scenarios/release.toml")
	if err != nil {
		t.Fatal(err)
	}
	text = []byte(strings.Replace(string(text), `lasts = "40s"`, `lasts = "3s"`, 1))
	const e = "version = 1\nscenario = \"s.toml\"\nseeds = 2\n[[side]]\nname = \"a\"\n[[side]]\nname = \"b\"\npolicy = \"least\"\n"
	file := filepath.Join(dir, "e.toml")
	if err := errors.Join(os.WriteFile(filepath.Join(dir, "s.toml"), text, 0o600), os.WriteFile(file, []byte(e), 0o600)); err != nil {
		t.Fatal(err)
	}
	out := filepath.Join(dir, "out")
	for range 2 { // the second time all runs are already played
		if code, text, errOut := command("run " + file + " --out " + out); code != 0 || !strings.Contains(text, "| - | b |") {
			t.Fatalf("exit %d, %q, %q", code, text, errOut)
		}
	}
	if code, text, errOut := command("compare " + out + " " + out); code != 0 || strings.Contains(text, "better") || !strings.Contains(text, "noise") {
		t.Errorf("exit %d, %q, %q", code, text, errOut)
	}
	if code, _, errOut := command("compare " + out + " " + dir); code != 1 || !strings.Contains(errOut, "no such file") {
		t.Errorf("exit %d, %q", code, errOut)
	}
}

// The table and the JSON of a load must contain the answers of the server, and invalid arguments must be named.
func TestLoad(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Lane") == "pay" && (r.Header.Get("Idempotency-Key") == "" || r.Method != http.MethodPost || r.Header.Get("X-Org") != "web") {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	defer server.Close()
	args := "load " + server.URL + " --rate 50 --to 150 --profile ramp --lasts 1s --class read,share=0.5 --class pay,method=POST,keyed,body=9,left=1s,share=0.5 --team web"
	if code, out, errOut := command(args); code != 0 || !strings.Contains(out, "p99.9") || !strings.Contains(out, "pay") {
		t.Errorf("exit %d, %q, %q", code, out, errOut)
	}
	_, out, _ := command(args + " --json")
	var r load.Report
	if err := json.Unmarshal([]byte(out), &r); err != nil || r.All.Asked < 95 || r.All.Served != r.All.Asked || len(r.Classes) != 2 {
		t.Errorf("%v, %+v", err, r.All)
	}
	for args, want := range map[string]string{
		"load ftp://x": "not an http", "load http://x --rate 0": "rate 0", "load http://x --class a,shares=1": "not known",
		"load http://x --profile ramp": "to which it goes", "load http://x --class a,share=0.2": "sum to 0.2", "load": "accepts 1 arg",
	} {
		if code, _, errOut := command(args); code != 2 || !strings.Contains(errOut, want) {
			t.Errorf("%s: exit %d, %q", args, code, errOut)
		}
	}
	if code, _, errOut := command("load http://127.0.0.1:1 --lasts 100ms"); code != 1 || !strings.Contains(errOut, "not one") {
		t.Errorf("no server listens: exit %d, %q", code, errOut)
	}
}

// One benchmark must measure all ways, including the cost of each proxy process.
func TestBenchProxy(t *testing.T) {
	code, out, errOut := command("bench proxy --lasts 300ms --connections 20 --callers 8 --rate 100 --json")
	var all []measurement
	if err := json.Unmarshal([]byte(out), &all); code != 0 || err != nil || len(all) != 3 {
		t.Fatalf("exit %d, %v, %q, %q", code, err, out, errOut)
	}
	for _, m := range all {
		if m.PerSecond <= 0 || m.P50 < 20 || m.Way != "direct" && (m.PerCore <= 0 || m.Allocs <= 1 || m.BusyBytes == 0) {
			t.Errorf("%+v", m)
		}
	}
}
