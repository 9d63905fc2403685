package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// loadText loads a configuration file with the given text. It returns the text of the error without the directory of the
// file, or an empty string if there is no error.
func loadText(t *testing.T, text string) string {
	t.Helper()
	directory := t.TempDir()
	path := filepath.Join(directory, "platform.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] })
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(err.Error(), directory+string(filepath.Separator), "")
}

// Errors contain the file, the line and the key. The errors of several values are reported together.
func TestLoadErrors(t *testing.T) {
	tests := map[string]struct{ old, changed, want string }{
		"wrong type": {
			`"name": "b1"`, `"name": 7`,
			"platform.json:2: name: json: cannot unmarshal number into Go struct field .name of type string",
		},
		"wrong type in an object": {
			`"cores": 1.5`, `"cores": "x"`,
			"platform.json:7: limits.cores: json: cannot unmarshal string into Go struct field Limits.limits.cores of type float64",
		},
		"wrong type in a list": {
			`"az": "z"`, `"az": 1`,
			"platform.json:8: known.targets.az: json: cannot unmarshal number into Go struct field Target.known.targets.az of type string",
		},
		"syntax":   {`"limits": {`, `"limits": {{`, "platform.json:7: invalid character '{' looking for beginning of object key string"},
		"settings": {`"settings": `, `"unused": `, "platform.json: settings: missing"},
		"several values": {
			`"listen": "127.0.0.1:1001",
"control": "127.0.0.1:1002",`, `"listen": "nowhere", "seed": "x",
"control": "here",`,
			"platform.json:3: listen: \"nowhere\" is not host:port\nplatform.json:4: control: \"here\" is not host:port",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(platformFileText, tc.old, tc.changed, 1)
			if text == platformFileText {
				t.Fatalf("the text to replace, %q, is not in the file", tc.old)
			}
			if got := loadText(t, text); got != tc.want {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}

// Load fails with ErrNotSet if BALANCER_CONFIG is not set.
func TestLoadWithoutFile(t *testing.T) {
	if _, err := Load(func(string) string { return "" }); !errors.Is(err, ErrNotSet) {
		t.Errorf("got %v", err)
	}
}
