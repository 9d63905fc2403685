package tomlconfig

import (
	"testing"
	"time"

	"dykering/internal/validation"
)

// A reference is decoded with the type of its key, and the variable is the source of the value.
func TestEnvironmentReferences(t *testing.T) {
	decoded, sources, errs := decodeSettings(`mode = "${MODE}"
workers = "${WORKERS}" # a comment
ratio = "${RATIO}"
enabled = "${ENABLED}"
timeout = "${TIMEOUT}"
token = "${TOKEN}"
names = ["${MODE}"]
[limits]
upper = 20
`)
	if len(errs) > 0 {
		t.Fatal(validation.Join(errs))
	}
	isDecoded := decoded.Mode == "safe" && decoded.Workers == 7 && decoded.Ratio == 0.25 && decoded.Enabled &&
		decoded.Timeout == Duration(9*time.Millisecond) && decoded.Token == "s\"e\\c\nr\x7ft" && decoded.Limits.Upper == 20
	if !isDecoded {
		t.Errorf("decoded %+v", decoded)
	}
	if decoded.Names[0] != "${MODE}" {
		t.Errorf("the reference in a list was replaced by %q", decoded.Names[0])
	}
	expectSources(t, sources, Sources{
		"mode": "environment MODE", "workers": "environment WORKERS", "ratio": "environment RATIO",
		"enabled": "environment ENABLED", "timeout": "environment TIMEOUT", "token": "environment TOKEN",
		"names": "settings.toml:7", "limits.upper": "settings.toml:9",
	})
}

// A variable that is not set, or whose value is invalid for the key, is an error on the line of the reference.
func TestEnvironmentErrors(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"wrong type":     {"workers = \"${WORDS}\"", []string{"settings.toml:1: workers: has to be a whole number"}},
		"injected line":  {"ratio = \"${INJECTION}\"", []string{"settings.toml:1: ratio: has to be a number"}},
		"injected mark":  {"ratio = \"${HASH}\"", []string{"settings.toml:1: ratio: has to be a number"}},
		"out of bounds":  {"ratio = \"${WORKERS}\"", []string{"settings.toml:1: ratio: has to be at most 1"}},
		"is not allowed": {"mode = \"${WORDS}\"", []string{"settings.toml:1: mode: \"many words\" is not one of fast, safe"}},
		"is not set": {
			"mode = \"${ABSENT}\"",
			[]string{
				"settings.toml:1: mode: ABSENT is not in the environment",
			},
		},
		"errors after a longer and a shorter value": {
			"token = \"${TOKEN}\"\nworkers = \"${WORKERS}\"\nenabled = 3\nratio = \"x\"\n",
			[]string{"settings.toml:3: enabled: has to be true or false", "settings.toml:4: ratio: has to be a number"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { expectErrors(t, tc.text, tc.want) })
	}
}
