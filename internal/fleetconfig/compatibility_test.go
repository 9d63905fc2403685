package fleetconfig

import (
	"testing"

	"dykering/internal/fixture"
)

// The JSON form of the items in an operator's configuration must not change.
func TestConfigurationFormIsUnchanged(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/route.json", &Route{})
	fixture.JSON(t, "testdata/compatibility/service.json", &Service{})
	fixture.JSON(t, "testdata/compatibility/limits.json", &Limits{})
}

// The JSON form of a document, which the operator's API returns, must not change.
func TestDocumentFormIsUnchanged(t *testing.T) {
	document := Document{
		Version:  7,
		Routes:   []Item{{Name: "route", Text: []byte(`{"name":"route","host":"<a>"}`)}},
		Services: []Item{{Name: "service", Text: []byte(`{"name":"service"}`)}},
		Limits:   []byte(`{"max_body_bytes":1}`),
	}
	text, err := document.JSON()
	if err != nil {
		t.Fatal(err)
	}
	fixture.Text(t, "testdata/compatibility/document.json", string(text))
}
