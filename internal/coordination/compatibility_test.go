package coordination

import (
	"encoding/json"
	"reflect"
	"testing"

	"dykering/internal/fixture"
)

// The fixtures were written by the first build that had the coordination service.
const (
	storedFile   = "testdata/compatibility/state.gob"         // the stored form of a state with entries in all tables
	renderedFile = "testdata/compatibility/state.txt"         // the content of that state as text
	schemaFile   = "testdata/compatibility/state-schema.json" // the structure of the stored type
)

// storedFixture returns the stored form that the earlier build has written, without zero fields.
func storedFixture(t *testing.T) []byte {
	t.Helper()
	return fixture.Bytes(t, storedFile, func() []byte {
		data, err := seedState().GobEncode()
		if err != nil {
			t.Fatal(err)
		}
		return data
	})
}

func restoredFixture(t *testing.T) *State {
	t.Helper()
	state := &State{}
	if err := state.GobDecode(storedFixture(t)); err != nil {
		t.Fatal(err)
	}
	return state
}

// The current code reads all of a state that an earlier build has stored.
func TestStateOfEarlierBuildIsRead(t *testing.T) {
	fixture.Text(t, renderedFile, fixture.Render("", restoredFixture(t).stored()))
}

// The types of an earlier build read all of a state that the current code stores.
func TestEarlierTypesReadPresentState(t *testing.T) {
	text := fixture.Bytes(t, schemaFile, func() []byte {
		text, err := json.Marshal(fixture.SchemaOf(reflect.TypeFor[storedState]()))
		if err != nil {
			t.Fatal(err)
		}
		return append(text, '\n')
	})
	var schema fixture.Schema
	if err := json.Unmarshal(text, &schema); err != nil {
		t.Fatal(err)
	}
	data, err := restoredFixture(t).GobEncode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := fixture.DecodeGob(data, &schema)
	if err != nil {
		t.Fatal(err)
	}
	fixture.Text(t, renderedFile, fixture.Render("", decoded))
}

// Commands lead to the same state as in an earlier build, as the members of a control plane may run different builds.
func TestCommandsOfEarlierBuildLeadToTheSameState(t *testing.T) {
	fixture.Text(t, renderedFile, fixture.Render("", seedState().stored()))
}
