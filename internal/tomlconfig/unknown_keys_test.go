package tomlconfig

import "testing"

// An unknown key is reported with the most similar known key, if one is similar enough.
func TestUnknownKeys(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"misspelt key": {"wokers = 1", []string{"settings.toml:1: wokers: not a key of this version; is workers meant?"}},
		"misspelt table, once": {
			"[limit]\nlower = 1\nupper = 2",
			[]string{"settings.toml:1: limit: not a key of this version; is limits meant?"},
		},
		"misspelt array":    {"[[rout]]", []string{"settings.toml:1: rout: not a key of this version; is route meant?"}},
		"key of an array":   {"[[route]]\npaht = \"/\"", []string{"settings.toml:2: route[0].paht: not a key of this version; is route[].path meant?"}},
		"nothing similar":   {"completely_different = 1", []string{"settings.toml:1: completely_different: not a key of this version"}},
		"field without tag": {"Untagged = \"x\"", []string{"settings.toml:1: Untagged: not a key of this version"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { expectErrors(t, tc.text, tc.want) })
	}
}

// Inline tables are accepted if their table has known keys.
func TestInlineTables(t *testing.T) {
	decoded, _, errs := decodeSettings("limits = {lower = 2, upper = 3}\nroute = [{path = \"/\"}]\n")
	if len(errs) > 0 || decoded.Limits != (limitsTable{Lower: 2, Upper: 3}) || len(decoded.Routes) != 1 || decoded.Routes[0].Path != "/" {
		t.Errorf("decoded %+v, errors %v", decoded, errs)
	}
}
