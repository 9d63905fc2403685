package http1

import (
	"encoding/json"
	"testing"

	"dykering/internal/fixture"
)

// The state that is sent with a connection to the successor has the form that released builds write
// and read. A process of either build may be the one that stops during an upgrade.
func TestTransferOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/passage.json", &connTransfer{})
	if transferVersion != 1 {
		t.Errorf("version %d of the transfer: released builds decline all but 1", transferVersion)
	}
}

// Fields without a value are left out, as released builds do: a successor recognizes by them what
// is transferred.
func TestEmptyTransferHasVersionAlone(t *testing.T) {
	text, err := json.Marshal(connTransfer{Version: transferVersion})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"version":1}`; string(text) != want {
		t.Errorf("%s, want %s", text, want)
	}
}
