package controlplane

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"dykering/internal/chain"
	"dykering/internal/fixture"
	"dykering/internal/fleetconfig"
	"dykering/internal/protocol"
	"dykering/internal/ringlog"
	"dykering/internal/sessions"
)

// The fixtures are data directories written by the build of commit bfb03d8, the last one before the types were renamed,
// and their contents as text. The functions that wrote the directories are in compatibility_write_test.go.
const (
	filledDirectory     = "testdata/data-filled"           // a record of each type, without zero fields
	filledText          = "testdata/data-filled-chain.txt" // its chain records
	sessionsText        = "testdata/data-filled-sessions.txt"
	sessionsSchema      = "testdata/sessions-schema.json" // the structure of the session record type
	restorableDirectory = "testdata/data-restorable"      // a single member with a configuration change in its log
	restorableText      = "testdata/data-restorable.txt"  // its view and state
	fixtureDiskMB       = 64
)

// copyOfFixture copies the data directory of an earlier build to a directory that the test may write to.
func copyOfFixture(t *testing.T, from string) string {
	t.Helper()
	if fixture.Updating() {
		writeDataDirectories(t)
	}
	directory := t.TempDir()
	if err := os.CopyFS(directory, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return directory
}

// readChain reads the chain records of a data directory as a starting process does.
func readChain(t *testing.T, directory string) []any {
	t.Helper()
	protocol.Register()
	ring, records, discarded, err := openRecords(ringOptions(directory, fixtureDiskMB), slog.New(slog.DiscardHandler))
	if err != nil || discarded {
		t.Fatalf("error %v, discarded %v", err, discarded)
	}
	ring.Close()
	return records
}

// readSessions reads the sessions of a data directory as a starting process does.
func readSessions(t *testing.T, directory string) []sessions.Record {
	t.Helper()
	options := ringlog.Options{Directory: filepath.Join(directory, "sessions"), Files: sessionFiles, FileSize: sessionFileSize}
	ring, payloads, err := ringlog.Open(options)
	if err != nil || len(payloads) == 0 {
		t.Fatalf("error %v, %d payloads", err, len(payloads))
	}
	ring.Close()
	records, err := decodeSessions(payloads[len(payloads)-1])
	if err != nil {
		t.Fatal(err)
	}
	return records
}

func renderRecords(records []any) string {
	var text strings.Builder
	for i, record := range records {
		text.WriteString(fixture.Render(fmt.Sprintf("record %d ", i), record))
	}
	return text.String()
}

// restoreSingleMember restores the member of the restorable directory from its records.
func restoreSingleMember(records []any) *chain.Node {
	return chain.Restore(chain.Config{Apply: applyOperation}, 0, records)
}

func renderNode(node *chain.Node) string {
	return fixture.Render("view ", node.View()) + fixture.Render("state ", node.LatestState())
}

// TestChainRecordsOfEarlierBuildAreRead checks that the chain records of an earlier build are decoded in full.
func TestChainRecordsOfEarlierBuildAreRead(t *testing.T) {
	records := readChain(t, copyOfFixture(t, filledDirectory))
	fixture.Text(t, filledText, renderRecords(records))
}

// TestMemberOfEarlierBuildIsRestored checks that a member is restored from the records of an earlier build, with the
// operations of its log applied.
func TestMemberOfEarlierBuildIsRestored(t *testing.T) {
	records := readChain(t, copyOfFixture(t, restorableDirectory))
	fixture.Text(t, restorableText, renderNode(restoreSingleMember(records)))
}

// TestStoredFormOfChainRecords checks that the current code stores chain records in the form that an earlier build
// reads: a gob stream in which each record is the interface value of the field Record. Package protocol compares the
// types of the records.
func TestStoredFormOfChainRecords(t *testing.T) {
	encoder := newRecordEncoder()
	var stream bytes.Buffer
	records := readChain(t, copyOfFixture(t, filledDirectory))
	for _, record := range records {
		payload, err := encoder.encode(record)
		if err != nil {
			t.Fatal(err)
		}
		stream.Write(payload)
	}
	decoder := gob.NewDecoder(&stream)
	var decoded []any
	for range records {
		var box struct{ Record any }
		if err := decoder.Decode(&box); err != nil {
			t.Fatal(err)
		}
		decoded = append(decoded, box.Record)
	}
	fixture.Text(t, filledText, renderRecords(decoded))
}

// TestStoredFormOfOperations checks that an operation of the log is stored as the interface value of the field Record,
// under the registered name of fleetconfig.Change.
func TestStoredFormOfOperations(t *testing.T) {
	protocol.Register()
	change := fleetconfig.Change{Operation: fleetconfig.Replace, Base: 3, Body: []byte("{}")}
	operation, err := encodeOperation(change)
	if err != nil {
		t.Fatal(err)
	}
	var box struct{ Record any }
	if err := gob.NewDecoder(bytes.NewReader(operation)).Decode(&box); err != nil {
		t.Fatal(err)
	}
	expected := ".Operation = \"replace\"\n.Base = 3\n.Body = 7b7d\n"
	if got := fixture.Render("", box.Record); got != expected || !bytes.Contains(operation, []byte("dykering/internal/fleetconfig.Change")) {
		t.Errorf("the operation is stored as %q, which decodes as %s", operation, got)
	}
}

// TestSessionsOfEarlierBuildAreRead checks that the sessions of an earlier build are decoded in full.
func TestSessionsOfEarlierBuildAreRead(t *testing.T) {
	records := readSessions(t, copyOfFixture(t, filledDirectory))
	fixture.Text(t, sessionsText, fixture.Render("sessions", records))
}

// TestEarlierTypesReadPresentSessions checks that the types of an earlier build decode in full the sessions that the
// current code stores.
func TestEarlierTypesReadPresentSessions(t *testing.T) {
	payload, err := encodeSessions(readSessions(t, copyOfFixture(t, filledDirectory)))
	if err != nil {
		t.Fatal(err)
	}
	text := fixture.Bytes(t, sessionsSchema, func() []byte { return encodedSchema(t, reflect.TypeFor[[]sessions.Record]()) })
	var schema fixture.Schema
	if err := json.Unmarshal(text, &schema); err != nil {
		t.Fatal(err)
	}
	decoded, err := fixture.DecodeGob(payload, &schema)
	if err != nil {
		t.Fatal(err)
	}
	fixture.Text(t, sessionsText, fixture.Render("sessions", decoded))
}

// TestEndpointCallsAreUnchanged checks that the JSON bodies of calls to endpoints keep their form.
func TestEndpointCallsAreUnchanged(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/report.json", &endpointReport{})
	fixture.JSON(t, "testdata/compatibility/order.json", &orderRequest{})
}
