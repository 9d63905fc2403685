package dataplane

import (
	"testing"

	"dykering/internal/fixture"
)

// The explanations of requests keep the form in which the explain command reads them.
func TestExplanationFormIsUnchanged(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/explanation.json", &RequestExplanation{})
}
