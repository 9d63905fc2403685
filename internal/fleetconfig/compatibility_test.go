package fleetconfig

import (
	"testing"

	"dykering/internal/fixture"
)

// The items of an operator's configuration keep their form.
func TestConfigurationFormIsUnchanged(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/route.json", &Route{})
	fixture.JSON(t, "testdata/compatibility/service.json", &Service{})
	fixture.JSON(t, "testdata/compatibility/limits.json", &Limits{})
}

// A document keeps the form in which it is read by the operator.
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
