package http1

import (
	"encoding/json"
	"testing"

	"dykering/internal/fixture"
)

// The state that is sent to the successor with a connection must keep the form that released builds
// read and write. During an upgrade or a downgrade the two processes are of different builds.
func TestTransferOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/passage.json", &connTransfer{})
	if transferVersion != 1 {
		t.Errorf("transfer has version %d: released builds decline all versions but 1", transferVersion)
	}
}

// Fields without a value must be left out, as in released builds: a successor recognizes the kind of
// transfer by the fields that are present.
func TestEmptyTransferHasVersionAlone(t *testing.T) {
	text, err := json.Marshal(connTransfer{Version: transferVersion})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"version":1}`; string(text) != want {
		t.Errorf("got %s, want %s", text, want)
	}
}
