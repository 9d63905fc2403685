package controlplane

import (
	"fmt"
	"os"
	"testing"

	"dykering/internal/chain"
	"dykering/internal/coordination"
	"dykering/internal/corestate"
	"dykering/internal/fixture"
	"dykering/internal/fleetconfig"
	"dykering/internal/protocol"
)

// The fixture is a data directory written by the first build with the coordination service, and its contents as text. The
// fixtures of earlier builds are separate.
const (
	coordinationDirectory = "testdata/data-coordination" // a single member with commands in its log
	coordinationText      = "testdata/data-coordination.txt"
)

// coordinationRecords returns the records of a single member. Its snapshot has only the configuration, as that of a
// build without the service. Its log has a command of each operation, and one command that is rejected.
func coordinationRecords(t *testing.T) []any {
	t.Helper()
	records := restorableRecords(t)
	seq := records[1].(chain.EntryRecord).Entry.Seq
	for _, command := range []coordination.Command{
		{Operation: coordination.BeginLock, Name: "l", Holder: "a", HoldMs: 3000},
		{Operation: coordination.BeginLock, Name: "l", Holder: "b", HoldMs: 3000},
		{Operation: coordination.BeginLock, Name: "l", Holder: "b", HoldMs: 3000, ExpiredToken: 1},
		{Operation: coordination.RenewLock, Name: "l", Holder: "b", Token: 2, HoldMs: 9000},
		{Operation: coordination.BeginLock, Name: "m", Holder: "c", HoldMs: 3000},
		{Operation: coordination.FinishLock, Name: "m", Holder: "c", Token: 3},
		{Operation: coordination.NextNumber, Name: "n"},
		{Operation: coordination.PutCell, Name: "g.a", Value: "1", Conditional: true},
		{Operation: coordination.PutCell, Name: "g.b", Value: "2"},
		{Operation: coordination.PutCell, Name: "g.a", Value: "3", Conditional: true, IfRevision: 1},
		{Operation: coordination.Compact, Floors: map[string]uint64{"g.": 1}, ExpiredHolds: map[string]uint64{"m": 3}},
	} {
		operation, err := encodeOperation(command)
		if err != nil {
			t.Fatal(err)
		}
		seq++
		records = append(records, chain.EntryRecord{Entry: chain.Entry{Seq: seq, Operation: operation}})
	}
	return records
}

// readCoordinationDirectory restores the member of the fixture.
func readCoordinationDirectory(t *testing.T) *chain.Node {
	t.Helper()
	if fixture.Updating() {
		protocol.Register()
		writeChain(t, coordinationDirectory, [][]any{coordinationRecords(t)})
	}
	directory := t.TempDir()
	if err := os.CopyFS(directory, os.DirFS(coordinationDirectory)); err != nil {
		t.Fatal(err)
	}
	return restoreSingleMember(readChain(t, directory))
}

// renderCoordination renders what callers can read of the state of a member.
func renderCoordination(state chain.State) string {
	table := corestate.Coordination(state.Value)
	lock, held := table.Lock("l")
	_, stillHeld := table.Lock("m")
	events, upTo, complete := table.EventsAfter("g.", 1, 10)
	_, _, fromStart := table.EventsAfter("g.", 0, 10)
	_, number, _ := table.Execute(coordination.Command{Operation: coordination.NextNumber, Name: "n"})
	_, token, _ := table.Execute(coordination.Command{Operation: coordination.BeginLock, Name: "other", Holder: "d", HoldMs: 1})
	return fmt.Sprintf("sequence %d, of the configuration %d\n", state.Seq, corestate.ConfigurationSeq(state)) +
		fmt.Sprintf("lock %+v %v, given back %v\n", lock, held, !stillHeld) +
		fmt.Sprintf("next number %d, next token %d\n", number.Number, token.Token) +
		fmt.Sprintf("cells %+v %+v\n", table.ReadCell("g.a"), table.ReadCell("g.b")) +
		fmt.Sprintf("events %+v up to %d, complete %v, from the start %v\n", events, upTo, complete, fromStart) +
		fmt.Sprintf("counts %+v, bytes %d\n", table.Counts(), table.Bytes()) +
		fixture.Render("configuration", corestate.Configuration(state.Value))
}

// TestCommandsOfEarlierBuildAreRestored checks that a member is restored from the records of an earlier build, with the
// commands of its log applied to the state of a build without the service.
func TestCommandsOfEarlierBuildAreRestored(t *testing.T) {
	fixture.Text(t, coordinationText, renderCoordination(readCoordinationDirectory(t).LatestState()))
}

// TestStoredFormOfCommands checks that a command is stored as the interface value of the field Record, under its
// registered name, and is decoded again.
func TestStoredFormOfCommands(t *testing.T) {
	protocol.Register()
	command := coordination.Command{Operation: coordination.NextNumber, Name: "n"}
	operation, err := encodeOperation(command)
	if err != nil {
		t.Fatal(err)
	}
	records, err := decodeRecords([][]byte{operation})
	if err != nil {
		t.Fatal(err)
	}
	if got := fixture.Render("", records[0]); got != fixture.Render("", command) {
		t.Errorf("the operation is read as %s", got)
	}
}

// TestUnknownOperationsChangeNothing checks that an operation that cannot be decoded leaves the state unchanged, so
// that all members of the same build agree.
func TestUnknownOperationsChangeNothing(t *testing.T) {
	protocol.Register()
	value := any(&fleetconfig.State{Document: fleetconfig.Document{Version: 3}})
	if got := applyOperation(value, []byte("unknown")); got != value {
		t.Errorf("the value became %+v", got)
	}
}
