package nodefile

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"dykering/internal/fixture"
)

const exampleFile = "../../deploy/node.example.toml"

// The example file is valid for a control process, and its bounds equal the defaults.
func TestExampleFileIsValid(t *testing.T) {
	s, err := Load(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds != Defaults().Bounds {
		t.Errorf("bounds %+v, the defaults are %+v", s.Bounds, Defaults().Bounds)
	}
	if s.Listen.ControlPlane == "" || s.DataDirectory == "" {
		t.Error("control_plane or data_directory is missing")
	}
}

// The example file has exactly the keys of Settings. Keys that only a proxy uses are commented out.
func TestExampleFileHasEveryKey(t *testing.T) {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	withProxyKeys := string(text)
	for _, key := range []string{"frontend = ", "readiness = "} {
		withProxyKeys = strings.Replace(withProxyKeys, "\n# "+key, "\n"+key, 1)
	}
	var all Settings
	fixture.Fill(&all)
	complete, err := toml.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	fixture.SameNames(t, exampleFile, keysOf(t, []byte(withProxyKeys)), keysOf(t, complete))
}

// keysOf lists the keys of a document, each with the name of its table as prefix.
func keysOf(t *testing.T, document []byte) (keys []string) {
	t.Helper()
	var tables map[string]any
	if err := toml.Unmarshal(document, &tables); err != nil {
		t.Fatal(err)
	}
	for name, value := range tables {
		table, isTable := value.(map[string]any)
		if !isTable || name == "zones" { // the operator chooses the names of zones
			keys = append(keys, name)
			continue
		}
		for key := range table {
			keys = append(keys, name+"."+key)
		}
	}
	slices.Sort(keys)
	return keys
}
