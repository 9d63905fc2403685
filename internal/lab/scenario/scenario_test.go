package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The built-in scenario and the scenario files of the laboratory load without errors.
func TestLoadAcceptsBuiltInAndLaboratoryScenarios(t *testing.T) {
	if s := Default(); len(s.Classes) != 3 || len(s.InjectedFaults) != 3 {
		t.Errorf("built-in scenario: %+v", s)
	}
	files, err := filepath.Glob("../../../lab/scenarios/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		if _, found := Load(f); len(found) > 0 {
			t.Error(found)
		}
	}
}

// Each error is reported with its key or line.
func TestParseReportsFaultWithKeyAndLine(t *testing.T) {
	for name, testCase := range map[string]struct{ from, to, want string }{
		"misspelled key":                {"instances = 4", "instnaces = 4", ":6: broker.instnaces: not a key of this version; is broker.instances meant?"},
		"inverted range":                {`rate = "180..220"`, `rate = "220..180"`, `callers.rate: "220..180" is not a number or a range`},
		"shares above 1":                {"share = 0.7", "share = 0.9", "class[0].share: the shares sum to"},
		"unknown effect":                {`effect = "unsafe"`, `effect = "risky"`, `class[2].effect: "risky" is not one of safe, keyed, unsafe`},
		"latency target after deadline": {`aim = "500ms"`, `aim = "5s"`, "class[0].aim: is later than the deadline"},
		"work of 0":                     {`work = "0.02..0.08"`, `work = "0..1"`, "class[0].work: has to be above 0"},
		"unknown kind of fault":         {`what = "drain"`, `what = "deluge"`, "trouble[0].what"},
		"flood without team":            {`what = "drain"`, `what = "flood"`, `trouble[0].team: missing: "" is not a team of this scenario`},
		"hot factor above whole load":   {"rate = ", "hot = 9\nrate = ", "callers.hot: one in ten of 4 instances"},
		"unknown day":                   {"version = 1", "version = 1\nday = \"fair\"", `day: no trouble has the day "fair"`},
		"unknown version":               {"version = 1", "version = 2", ":1: version: has to be at most 1"},
	} {
		text := strings.Replace(string(defaultText), testCase.from, testCase.to, 1)
		_, found := Parse("s.toml", []byte(text))
		if len(found) != 1 || !strings.Contains(found[0].Error(), testCase.want) {
			t.Errorf("%s: %v, want %q", name, found, testCase.want)
		}
	}
	if _, found := Load(os.DevNull); len(found) == 0 {
		t.Error("an empty file is accepted")
	}
}
