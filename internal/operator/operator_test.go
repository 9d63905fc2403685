package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dykering/internal/tomlconfig"
	"dykering/internal/validation"
)

type team struct {
	Name  string `toml:"name" doc:"the team's name"`
	Calls int    `toml:"calls" doc:"calls per second" min:"1"`
}

type sample struct {
	Word  string              `toml:"word" doc:"a word" oneof:"one two"`
	Count int                 `toml:"count" doc:"a number" min:"1" max:"9"`
	Part  float64             `toml:"part" doc:"a part" min:"0" max:"1"`
	On    bool                `toml:"on" doc:"a switch"`
	Wait  tomlconfig.Duration `toml:"wait" doc:"a time" min:"1ms" max:"1s"`
	Size  tomlconfig.Bytes    `toml:"size" doc:"a size" max:"1MiB"`
	Key   string              `toml:"key" doc:"a secret" secret:"yes"`
	Names []string            `toml:"names" doc:"names"`
	Inner inner               `toml:"inner"`
	Teams []team              `toml:"team"`
}

type inner struct {
	Depth int `toml:"depth" doc:"a depth" max:"3"`
}

func (s *sample) Check() (errs []validation.Error) {
	for i, t := range s.Teams {
		if t.Name == "" {
			errs = append(errs, validation.Error{Key: fmt.Sprintf("team[%d].name", i), Text: "has no name"})
		}
	}
	return errs
}

func init() {
	Register("sample", "Section for tests.", func() any {
		return &sample{Word: "one", Count: 3, Wait: tomlconfig.Duration(20 * time.Millisecond), Size: 4 << 10, Names: []string{"a"}}
	})
}

func parse(text string) (*sample, *File, []validation.Error) {
	f, errs := Parse("f.toml", []byte(text), func(name string) (string, bool) {
		v, ok := map[string]string{"COUNT": "7", "WORD": "two", "WAIT": "9ms", "KEY": "s\"e\nc", "BAD": "many words"}[name]
		return v, ok
	})
	if f == nil {
		return nil, nil, errs
	}
	return Section[sample](f, "sample"), f, errs
}

// Every error is reported with its line, its key and the expected value. A file with an error is rejected as a whole.
func TestParseReportsEveryError(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want []string
	}{
		"empty":          {"", []string{"f.toml: version: missing: has to be at least 1"}},
		"later version":  {"version = 2\n", []string{"f.toml:1: version: has to be at most 1"}},
		"version a text": {"version = \"1\"\n", []string{"f.toml:1: version: has to be a whole number"}},
		"half written":   {"version = 1\n[sample]\nword = \"on", []string{"f.toml:3: "}},
		"twice":          {"version = 1\n[sample]\ncount = 1\ncount = 2\n", []string{"f.toml:4: "}},
		"misspelt":       {"version = 1\n[sample]\ncuont = 1\n", []string{"f.toml:3: sample.cuont: not a key of this version; is sample.count meant?"}},
		"no such table":  {"version = 1\n[smaple]\ncount = 1\n", []string{"f.toml:2: smaple: not a key of this version; is sample meant?"}},
		"far from all":   {"version = 1\n[sample]\nzzzzzzzzzzz = 1\n", []string{"f.toml:3: sample.zzzzzzzzzzz: not a key of this version"}},
		"several at once": {
			"version = 1\n[sample]\ncount = \"x\"\non = 3\nwait = \"5\"\nword = \"three\"\nnames = [1]\n[sample.inner]\ndepth = 4\n",
			[]string{
				"f.toml:3: sample.count: has to be a whole number", "f.toml:4: sample.on: has to be true or false",
				"f.toml:5: sample.wait: \"5\" is not a time", "f.toml:6: sample.word: \"three\" is not one of one, two",
				"f.toml:7: sample.names: has to be a list, each element a text in quotes", "f.toml:9: sample.inner.depth: has to be at most 3",
			},
		},
		"bounds": {
			"version = 1\n[sample]\ncount = 0\npart = 1.5\nwait = \"2s\"\nsize = \"2MiB\"\n",
			[]string{
				"f.toml:3: sample.count: has to be at least 1", "f.toml:4: sample.part: has to be at most 1",
				"f.toml:5: sample.wait: has to be at most 1s", "f.toml:6: sample.size: has to be at most 1MiB",
			},
		},
		"in arrays": {
			"version = 1\n[[sample.team]]\nname = \"a\"\ncalls = 1\n[[sample.team]]\ncalls = 0\nclals = 3\n",
			[]string{
				"f.toml: sample.team[1].name: missing: has no name", "f.toml:6: sample.team[1].calls: has to be at least 1",
				"f.toml:7: sample.team[1].clals: not a key of this version; is sample.team[].calls meant?",
			},
		},
		"no such variable": {"version = 1\n[sample]\ncount = \"${NOWHERE}\"\n", []string{"f.toml:3: sample.count: NOWHERE is not in the environment"}},
		"variable's type":  {"version = 1\n[sample]\ncount = \"${BAD}\"\non = true\n", []string{"f.toml:3: sample.count: has to be a whole number"}},
	} {
		s, _, errs := parse(tc.text)
		if s != nil {
			t.Errorf("%s: the file was accepted", name)
		}
		for i, want := range tc.want {
			if i >= len(errs) || !strings.HasPrefix(errs[i].Error(), want) {
				t.Errorf("%s: got %v, want %q", name, errs, want)
				break
			}
		}
		if len(errs) != len(tc.want) && name != "no such variable" {
			t.Errorf("%s: %d errors: %v", name, len(errs), errs)
		}
	}
}

// Values of the file and of the environment override the defaults, and each value has its source. Secrets are masked.
func TestValues(t *testing.T) {
	s, f, errs := parse(`version = 1
[sample]
count = "${COUNT}"
word = "${WORD}"
wait = "${WAIT}" # a time
key = "${KEY}"
size = "1KiB"
[[sample.team]]
name = "a"
calls = 2
`)
	if errs != nil {
		t.Fatal(errs)
	}
	if s.Count != 7 || s.Word != "two" || s.Wait != tomlconfig.Duration(9*time.Millisecond) || s.Key != "s\"e\nc" || s.Size != 1<<10 ||
		len(s.Teams) != 1 || s.Teams[0] != (team{"a", 2}) || len(s.Names) != 1 {
		t.Errorf("got %+v", s)
	}
	got := map[string]string{}
	for _, v := range f.Values() {
		got[v.Key] = v.Text + " " + v.Source
	}
	for key, want := range map[string]string{
		"sample.count": "7 environment COUNT", "sample.size": `"1KiB" f.toml:7`, "sample.part": "0 default",
		"sample.key": `"***" environment KEY`, "sample.team[0].calls": "2 f.toml:10", "sample.names": `["a"] default`,
	} {
		if got[key] != want {
			t.Errorf("%s: %q, want %q", key, got[key], want)
		}
	}
	if changes := Changes(Defaults(), f); len(changes) != 7 || changes[0] != (Change{"sample.word", `"one"`, `"two"`}) {
		t.Errorf("changes %+v", changes)
	}
	if changes := Changes(f, Defaults()); len(changes) != 7 {
		t.Errorf("changes in the reverse direction %+v", changes)
	}
}

// A file that is absent, a folder or too large is reported as one error with its path.
func TestUnreadableFilesAreErrors(t *testing.T) {
	long := filepath.Join(t.TempDir(), "long.toml")
	if err := os.WriteFile(long, make([]byte, 2<<20), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{filepath.Join(t.TempDir(), "none.toml"), t.TempDir(), long} {
		if f, errs := Load(path, os.LookupEnv); f != nil || len(errs) != 1 || errs[0].File != path {
			t.Errorf("%s: %v", path, errs)
		}
	}
}

// The example is a valid file whose values equal the defaults.
func TestExample(t *testing.T) {
	f, errs := Parse("example", []byte(Example()), os.LookupEnv)
	if len(errs) > 0 {
		t.Fatal(validation.Join(errs))
	}
	if changes := Changes(Defaults(), f); len(changes) > 0 {
		t.Errorf("the example changes %+v", changes)
	}
}
