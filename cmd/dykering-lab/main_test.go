package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func command(args string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = execute(strings.Fields(args), &o, &e)
	return code, o.String(), e.String()
}

// What the command line does, and its exit codes; runs side by side are what each is alone.
func TestCommands(t *testing.T) {
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
		t.Error("a run is another beside others")
	}
	var r map[string]any
	if err := json.Unmarshal([]byte(alone), &r); err != nil || r["policy"] != "dykering" || r["service"].(float64) < 0.9 {
		t.Errorf("%v, %v", r, err)
	}
}
