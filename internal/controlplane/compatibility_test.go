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

// The fixtures are data directories that the build of commit bfb03d8 has written, the last one before the types were
// renamed, and their contents as text; compatibility_write_test.go has what wrote them.
const (
	filledDirectory     = "testdata/data-filled"           // a record of each type, no field zero
	filledText          = "testdata/data-filled-chain.txt" // the records of its ring of the chain
	sessionsText        = "testdata/data-filled-sessions.txt"
	sessionsSchema      = "testdata/sessions-schema.json" // the structure of the type of its sessions
	restorableDirectory = "testdata/data-restorable"      // of a member alone, with a change of the configuration in its log
	restorableText      = "testdata/data-restorable.txt"  // its view and state
	fixtureDiskMB       = 64
)

// copyOfFixture copies a data directory of an earlier build to where a test may write.
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

// readChain reads the records of a data directory as a process that starts does.
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

// readSessions reads the sessions of a data directory as a process that starts does.
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

// restoreSingleMember makes the member of the restorable directory out of its records.
func restoreSingleMember(records []any) *chain.Node {
	return chain.Restore(chain.Config{Apply: applyOperation}, 0, records)
}

func renderNode(node *chain.Node) string {
	return fixture.Render("view ", node.View()) + fixture.Render("state ", node.LatestState())
}

// Records of the chain that an earlier build has stored are read in full.
func TestChainRecordsOfEarlierBuildAreRead(t *testing.T) {
	records := readChain(t, copyOfFixture(t, filledDirectory))
	fixture.Text(t, filledText, renderRecords(records))
}

// A member is restored from what an earlier build has stored, with the operations of its log applied.
func TestMemberOfEarlierBuildIsRestored(t *testing.T) {
	records := readChain(t, copyOfFixture(t, restorableDirectory))
	fixture.Text(t, restorableText, renderNode(restoreSingleMember(records)))
}

// What the present code stores of the chain is what an earlier build reads: a gob stream of records, each the interface
// value of the field Record. Package protocol compares the types of the records.
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

// An operation of the log is the interface value of the field Record, of the type fleetconfig.Change.
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
		t.Errorf("operation is stored as %q", operation)
	}
}

// Sessions that an earlier build has stored are read in full.
func TestSessionsOfEarlierBuildAreRead(t *testing.T) {
	records := readSessions(t, copyOfFixture(t, filledDirectory))
	fixture.Text(t, sessionsText, fixture.Render("sessions", records))
}

// The types of an earlier build read in full the sessions that the present code stores.
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

// The calls to endpoints keep their form.
func TestEndpointCallsAreUnchanged(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/report.json", &endpointReport{})
	fixture.JSON(t, "testdata/compatibility/order.json", &orderRequest{})
}
