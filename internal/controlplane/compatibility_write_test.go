package controlplane

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"dykering/internal/chain"
	"dykering/internal/fixture"
	"dykering/internal/fleetconfig"
	"dykering/internal/protocol"
	"dykering/internal/ringlog"
	"dykering/internal/sessions"
)

// ringFileBytes is the preallocated size of a ring file in the fixtures. trimZeros cuts the unused part off, and
// opening the ring preallocates it again.
const ringFileBytes = 64 << 10

// writeDataDirectories writes the data directories of the fixtures.
func writeDataDirectories(t *testing.T) {
	t.Helper()
	protocol.Register()
	writeChain(t, filledDirectory, filledRecords())
	writeFilledSessions(t)
	writeChain(t, restorableDirectory, [][]any{restorableRecords(t)})
}

// filled returns a record without zero fields.
func filled[Record any]() any {
	var record Record
	fixture.Fill(&record, fixture.Interfaces[fleetconfig.State]())
	return record
}

// filledRecords returns the records of three files. The last file has records of all types.
func filledRecords() [][]any {
	return [][]any{
		{filled[chain.Snapshot](), filled[chain.EntryRecord]()},
		{filled[chain.Snapshot](), filled[chain.LeaseRecord]()},
		{
			filled[chain.Snapshot](), filled[chain.EntryRecord](), filled[chain.EntryRecord](), filled[chain.PromiseRecord](),
			filled[chain.AcceptRecord](), filled[chain.LeaseRecord](), filled[chain.InstallRecord](), filled[chain.EntryRecord](),
		},
	}
}

// restorableRecords returns the records of a single member that holds the placement role, and whose log has a change of
// the configuration.
func restorableRecords(t *testing.T) []any {
	t.Helper()
	self := chain.Member{ID: "10.0.0.1:7000/0", Name: "core-0", Address: "10.0.0.1:7000", ControlAddress: "10.0.0.1:8000", Zone: "a"}
	view := chain.View{
		Number: 3, Voters: []chain.Member{self}, Chain: []chain.MemberID{self.ID}, Holder: self.ID, Token: 2,
		FormerHolders: []string{"10.0.0.2:7000"},
	}
	change := fleetconfig.Change{
		Operation: fleetconfig.Replace, Base: 4,
		Body: []byte(`{"version":5,"routes":[],"services":[{"name":"s5"}]}`),
	}
	operation, err := encodeOperation(change)
	if err != nil {
		t.Fatal(err)
	}
	document := fleetconfig.Document{Version: 4, Services: []fleetconfig.Item{{Name: "s4", Text: []byte(`{"name":"s4"}`)}}}
	state := &fleetconfig.State{Document: document, Taken: []fleetconfig.Digest{{1, 2, 3}}, TakenVersions: []int64{4}, Forgotten: 3}
	return []any{
		chain.Snapshot{Self: self, View: view, Base: chain.State{Seq: 7, Value: state}, Held: 2},
		chain.EntryRecord{Entry: chain.Entry{Seq: 8, Operation: operation}},
	}
}

// writeChain stores records as a control process does. Each list begins a new file.
func writeChain(t *testing.T, directory string, files [][]any) {
	t.Helper()
	options := ringOptions(directory, fixtureDiskMB)
	options.FileSize = ringFileBytes
	ring := openEmpty(t, options)
	defer trimZeros(t, options.Directory)
	defer ring.Close()
	store := newChainStore(ring, slog.New(slog.DiscardHandler), nil)
	for _, records := range files {
		for _, record := range records {
			encoded, err := store.encode(record, nil)
			if err != nil {
				t.Fatal(err)
			}
			if err := ring.Append([]ringlog.Record{encoded}); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// writeFilledSessions writes a snapshot of sessions to each file.
func writeFilledSessions(t *testing.T) {
	t.Helper()
	options := ringlog.Options{Directory: filepath.Join(filledDirectory, "sessions"), Files: sessionFiles, FileSize: ringFileBytes}
	ring := openEmpty(t, options)
	defer trimZeros(t, options.Directory)
	defer ring.Close()
	var records []sessions.Record
	fixture.Fill(&records)
	store := sessionStore{ring: ring}
	for range sessionFiles {
		if err := store.write(records); err != nil {
			t.Fatal(err)
		}
	}
}

// encodedSchema returns the structure of a type as JSON.
func encodedSchema(t *testing.T, of reflect.Type) []byte {
	t.Helper()
	text, err := json.Marshal(fixture.SchemaOf(of))
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// openEmpty deletes the files of a ring and opens it.
func openEmpty(t *testing.T, options ringlog.Options) *ringlog.Ring {
	t.Helper()
	if err := os.RemoveAll(options.Directory); err != nil {
		t.Fatal(err)
	}
	ring, _, err := ringlog.Open(options)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

// trimZeros cuts the zeros off the ends of the files of a ring.
func trimZeros(t *testing.T, directory string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(directory, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, bytes.TrimRight(content, "\x00"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
