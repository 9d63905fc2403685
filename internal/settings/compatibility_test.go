package settings

import (
	"os"
	"testing"

	"dykering/internal/fixture"
)

// fillConfig fills a *config with non-zero values, and sets a valid value for each field that only allows certain values.
// It returns false for other types.
func fillConfig(pointer any) bool {
	c, ok := pointer.(*config)
	if !ok {
		return false
	}
	fixture.Fill(c)
	c.Discovery = "ask"
	c.WorthBy = "work"
	for i, effect := range []string{"idempotency_key", "non_idempotent"} {
		c.Services[i].Effect = effect
	}
	for i, scope := range []string{"cell", "zone"} {
		c.Services[i].KeyScope = scope
	}
	return true
}

// Each key of the settings is read under the name that the platform writes.
func TestSettingsOfPlatformAreReadByTheirKeys(t *testing.T) {
	const path = "testdata/compatibility/settings.json"
	fixture.JSON(t, path, &config{}, fillConfig)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	_, unknown, err := Parse(text)
	if err != nil || len(unknown) > 0 {
		t.Errorf("error %v, unknown keys %v, want none of both", err, unknown)
	}
}
