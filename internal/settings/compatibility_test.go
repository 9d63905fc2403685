package settings

import (
	"os"
	"testing"

	"dykering/internal/fixture"
)

// fillEnums sets the values of which there are only some.
func fillEnums(pointer any) bool {
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

// Each key of the settings is read, and by the name that the platform writes it with.
func TestSettingsOfPlatformAreReadByTheirKeys(t *testing.T) {
	const path = "testdata/compatibility/settings.json"
	fixture.JSON(t, path, &config{}, fillEnums)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	_, unknown, err := Parse(text)
	if err != nil || len(unknown) > 0 {
		t.Errorf("%v, unknown keys %v", err, unknown)
	}
}
