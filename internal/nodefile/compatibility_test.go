package nodefile

import (
	"reflect"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"dykering/internal/fixture"
)

// addedBounds are the bounds that were added since the fixture was written, with their defaults.
var addedBounds = map[string]any{"history_s": 20.0, "free_ms": 1500.0}

// Each key that the platform writes is read under its name.
func TestSettingsFileOfPlatformIsReadByItsKeys(t *testing.T) {
	const path = "testdata/compatibility/boot.toml"
	written := fixture.Bytes(t, path, func() []byte {
		var s Settings
		fixture.Fill(&s)
		s.IPAddress = "10.1.0.37"
		s.InternalPortRange = []int{7660, 7675}
		s.SeedNodes = []string{"10.1.0.38:8146", "10.1.0.39:8147"}
		text, err := toml.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		return text
	})
	s, err := Parse(written)
	if err != nil {
		t.Fatal(err)
	}
	again, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var wanted, got map[string]any
	if err := toml.Unmarshal(written, &wanted); err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(again, &got); err != nil {
		t.Fatal(err)
	}
	for key, value := range addedBounds {
		wanted["bounds"].(map[string]any)[key] = value
	}
	if !reflect.DeepEqual(wanted, got) {
		t.Errorf("%s: the keys have changed\n was %v\n now %v", path, wanted, got)
	}
}
