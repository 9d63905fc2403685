package tomlconfig

import (
	"slices"
	"strings"
	"testing"
	"time"

	"dykering/internal/validation"
)

// settingsFile has a key of each type and each tag that the package comment lists.
type settingsFile struct {
	Mode     string      `toml:"mode" doc:"a word" oneof:"fast safe"`
	Workers  int         `toml:"workers" doc:"a count" min:"1" max:"9"`
	Ratio    float64     `toml:"ratio" doc:"a share" min:"0" max:"1"`
	Enabled  bool        `toml:"enabled" doc:"a switch"`
	Timeout  Duration    `toml:"timeout" doc:"a duration" min:"1ms" max:"1s"`
	Buffer   Bytes       `toml:"buffer" doc:"a size" max:"1MiB"`
	Token    string      `toml:"token" doc:"a secret" secret:"yes"`
	Names    []string    `toml:"names" doc:"a list"`
	Limits   limitsTable `toml:"limits"`
	Routes   []route     `toml:"route"`
	Ignored  string      `toml:"-"`
	Untagged string
}

type limitsTable struct {
	Lower int `toml:"lower" doc:"the lower limit"`
	Upper int `toml:"upper" doc:"the upper limit" max:"100"`
}

// Check implements Checker with a rule that concerns two keys.
func (l *limitsTable) Check() []validation.Error {
	if l.Lower > l.Upper {
		return []validation.Error{{Key: "lower", Text: "has to be at most upper"}}
	}
	return nil
}

type route struct {
	Path string `toml:"path" doc:"a path"`
	Kind string `toml:"kind" doc:"a kind" oneof:"exact prefix" omitted:"exact"`
}

func defaultSettings() *settingsFile {
	return &settingsFile{
		Mode: "fast", Workers: 2, Timeout: Duration(time.Second), Buffer: 1 << 10, Names: []string{"a"},
		Limits: limitsTable{Lower: 1, Upper: 10},
	}
}

func testEnvironment(name string) (string, bool) {
	value, ok := map[string]string{
		"WORKERS": "7", "MODE": "safe", "TIMEOUT": "9ms", "TOKEN": "s\"e\\c\nr\x7ft", "RATIO": "0.25", "ENABLED": "true",
		"WORDS": "many words", "INJECTION": "1\nworkers = 2", "HASH": "1#2",
	}[name]
	return value, ok
}

func decodeSettings(text string) (*settingsFile, Sources, []validation.Error) {
	return Decode("settings.toml", []byte(text), defaultSettings, testEnvironment)
}

// Each error names the file, the line, the key and what is expected.
func TestDecodeReportsErrors(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"syntax":         {"workers = \n", []string{"settings.toml:1: "}},
		"key twice":      {"workers = 1\nworkers = 2\n", []string{"settings.toml:2: "}},
		"whole number":   {"workers = \"x\"", []string{"settings.toml:1: workers: has to be a whole number"}},
		"number":         {"ratio = \"x\"", []string{"settings.toml:1: ratio: has to be a number"}},
		"boolean":        {"enabled = 1", []string{"settings.toml:1: enabled: has to be true or false"}},
		"text":           {"mode = 1", []string{"settings.toml:1: mode: has to be a text in quotes"}},
		"list":           {"names = [1]", []string{"settings.toml:1: names: has to be a list, each element a text in quotes"}},
		"duration":       {"timeout = \"5\"", []string{"settings.toml:1: timeout: \"5\" is not a time with its unit, as 250ms"}},
		"size":           {"buffer = \"5MB\"", []string{"settings.toml:1: buffer: \"5MB\" is not a size with its unit, as 16MiB"}},
		"lower bound":    {"workers = 0", []string{"settings.toml:1: workers: has to be at least 1"}},
		"upper bound":    {"ratio = 1.5", []string{"settings.toml:1: ratio: has to be at most 1"}},
		"duration bound": {"timeout = \"2s\"", []string{"settings.toml:1: timeout: has to be at most 1s"}},
		"size bound":     {"buffer = \"2MiB\"", []string{"settings.toml:1: buffer: has to be at most 1MiB"}},
		"allowed texts":  {"mode = \"slow\"", []string{"settings.toml:1: mode: \"slow\" is not one of fast, safe"}},
		"Checker":        {"[limits]\nlower = 11", []string{"settings.toml:2: limits.lower: has to be at most upper"}},
		"Checker of an absent key": {
			"[limits]\nupper = 0",
			[]string{"settings.toml: limits.lower: missing: has to be at most upper"},
		},
		"in order of lines, in one run": {
			"# comment\nworkers = \"x\"\n\nratio = 2.0\n[limits]\nuper = 1\nupper = 101\n[[route]]\nkind = \"glob\"\n",
			[]string{
				"settings.toml:2: workers: has to be a whole number",
				"settings.toml:4: ratio: has to be at most 1",
				"settings.toml:6: limits.uper: not a key of this version; is limits.upper meant?",
				"settings.toml:7: limits.upper: has to be at most 100",
				"settings.toml:9: route[0].kind: \"glob\" is not one of exact, prefix",
			},
		},
		"value over several lines": {
			"names = [\n  1,\n  2,\n]\nworkers = 0\n",
			[]string{
				"settings.toml:1: names: has to be a list, each element a text in quotes",
				"settings.toml:5: workers: has to be at least 1",
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { expectErrors(t, tc.text, tc.want) })
	}
}

// expectErrors decodes a text and compares its errors. An expected error that ends with ": " is compared as a prefix, since
// the texts of syntax errors come from the TOML library.
func expectErrors(t *testing.T, text string, want []string) {
	t.Helper()
	decoded, sources, errs := decodeSettings(text)
	if decoded != nil || sources != nil {
		t.Errorf("decoded %+v with sources %v in spite of errors", decoded, sources)
	}
	if len(errs) != len(want) {
		t.Fatalf("errors %v, want %q", errs, want)
	}
	for i, err := range errs {
		isExact := !strings.HasSuffix(want[i], ": ")
		if isExact && err.Error() != want[i] || !strings.HasPrefix(err.Error(), want[i]) {
			t.Errorf("error %q, want %q", err, want[i])
		}
	}
}

// Only the first maxErrors errors are reported.
func TestDecodeBoundsTheErrors(t *testing.T) {
	text := strings.Repeat("[[route]]\nkind = \"glob\"\n", maxErrors+5)
	_, _, errs := decodeSettings(text)
	if len(errs) != maxErrors || errs[0].Line != 2 || errs[maxErrors-1].Line != 2*maxErrors {
		t.Errorf("%d errors, from line %d to %d", len(errs), errs[0].Line, errs[len(errs)-1].Line)
	}
}

// Keys that a file does not mention keep their defaults. Each value from the file has its line as its source.
func TestDecodeOverDefaults(t *testing.T) {
	decoded, sources, errs := decodeSettings("workers = 3\n\n[limits]\nlower = 5\n[[route]]\npath = \"/\"\n[[route]]\nkind = \"prefix\"\n")
	if len(errs) > 0 {
		t.Fatal(validation.Join(errs))
	}
	if decoded.Workers != 3 || decoded.Mode != "fast" || decoded.Limits != (limitsTable{Lower: 5, Upper: 10}) {
		t.Errorf("decoded %+v", decoded)
	}
	if want := []route{{Path: "/", Kind: "exact"}, {Kind: "prefix"}}; !slices.Equal(decoded.Routes, want) {
		t.Errorf("routes %+v, want %+v", decoded.Routes, want)
	}
	want := Sources{
		"workers": "settings.toml:1", "limits.lower": "settings.toml:4",
		"route[0].path": "settings.toml:6", "route[1].kind": "settings.toml:8",
	}
	expectSources(t, sources, want)
}

func expectSources(t *testing.T, got, want Sources) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("sources %v, want %v", got, want)
	}
	for key, source := range want {
		if got[key] != source {
			t.Errorf("%s: source %q, want %q", key, got[key], source)
		}
	}
}

// A type that is known only at run time is decoded like any other.
func TestDecodeAny(t *testing.T) {
	root, _, errs := DecodeAny("settings.toml", []byte("workers = 3"), func() any { return defaultSettings() }, testEnvironment)
	if decoded, ok := root.(*settingsFile); len(errs) > 0 || !ok || decoded.Workers != 3 {
		t.Errorf("decoded %+v, errors %v", root, errs)
	}
}
