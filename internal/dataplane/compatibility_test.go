package dataplane

import (
	"testing"

	"dykering/internal/fixture"
)

// The JSON form of explanations must not change, since an explain command of another build reads it.
func TestExplanationFormIsUnchanged(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/explanation.json", &RequestExplanation{})
}
