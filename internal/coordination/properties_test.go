package coordination

import (
	"bytes"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"dykering/internal/errkind"
)

// The generators use few names and values, so that commands often affect the same lock, number or cell.
var (
	lockNames   = rapid.SampledFrom([]string{"l1", "l2"})
	holderNames = rapid.SampledFrom([]string{"a", "b", "c"})
	numberNames = rapid.SampledFrom([]string{"n1", "n2"})
	cellNames   = rapid.SampledFrom([]string{"g.a", "g.b", "h"})
	groupNames  = rapid.SampledFrom([]string{"g.", "h", "absent."})
	cellValues  = rapid.SampledFrom([]string{"", "1", "2"})
	smallCounts = rapid.Uint64Range(0, 20)
	operations  = rapid.SampledFrom([]Operation{
		BeginLock, BeginLock, RenewLock, FinishLock, NextNumber, PutCell, PutCell, PutCell, Compact,
	})
)

// commands generates commands with tokens and revisions near the issued ones.
var commands = rapid.Custom(func(t *rapid.T) Command {
	command := Command{Operation: operations.Draw(t, "operation")}
	switch command.Operation {
	case BeginLock, RenewLock, FinishLock:
		command.Name = lockNames.Draw(t, "name")
		command.Holder = holderNames.Draw(t, "holder")
		command.Token = smallCounts.Draw(t, "token")
		command.HoldMs = rapid.Int64Range(1, 5).Draw(t, "hold")
		command.ExpiredToken = smallCounts.Draw(t, "expired token")
	case NextNumber:
		command.Name = numberNames.Draw(t, "name")
	case PutCell:
		command.Name = cellNames.Draw(t, "name")
		command.Value = cellValues.Draw(t, "value")
		command.Conditional = rapid.Bool().Draw(t, "conditional")
		command.IfRevision = rapid.Uint64Range(0, 6).Draw(t, "if revision")
	case Compact:
		command.Floors = rapid.MapOfN(groupNames, smallCounts, 0, 2).Draw(t, "floors")
		command.ExpiredHolds = rapid.MapOfN(lockNames, smallCounts, 0, 2).Draw(t, "expired holds")
	}
	return command
})

var histories = rapid.SliceOfN(commands, 20, 80)

func encoded(t *rapid.T, state *State) []byte {
	data, err := state.GobEncode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func decoded(t *rapid.T, data []byte) *State {
	state := &State{}
	if err := state.GobDecode(data); err != nil {
		t.Fatal(err)
	}
	return state
}

// For any sequence of commands, the state returns the same results as the model.
func TestStateBehavesAsTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, model := Empty(), newModel()
		for i, command := range histories.Draw(t, "commands") {
			nextState, result, err := state.Execute(command)
			wanted, kind, rejected := model.execute(command)
			if result != wanted || (err != nil) != rejected || rejected && errkind.KindOf(err) != kind {
				t.Fatalf("command %d %+v: got %+v, %v; the model has %+v, rejected %v with kind %v",
					i, command, result, err, wanted, rejected, kind)
			}
			if rejected && nextState != state {
				t.Fatalf("command %d %+v is rejected but changes the state", i, command)
			}
			state = nextState
			compareWithModel(t, state, model)
		}
	})
}

func compareWithModel(t *rapid.T, state *State, model *model) {
	for _, name := range []string{"l1", "l2"} {
		lock, held := state.Lock(name)
		wanted, wantedHeld := model.locks[name]
		if held != wantedHeld || held && (lock.Holder != wanted.holder || lock.Token != wanted.latestToken() ||
			lock.FirstToken != wanted.tokens[0] || lock.HoldMs != wanted.longestHoldMs) {
			t.Fatalf("lock %s is %+v, %v; the model has %+v, %v", name, lock, held, wanted, wantedHeld)
		}
	}
	for _, name := range []string{"g.a", "g.b", "h"} {
		wanted := model.cell(name)
		if got := state.ReadCell(name); got != (Result{Value: wanted.Value, Revision: wanted.Revision, Found: wanted.Revision > 0}) {
			t.Fatalf("cell %s is %+v; the model has %+v", name, got, wanted)
		}
	}
	for _, name := range []string{"g.", "h", "absent."} {
		compareHistory(t, state, model, name)
	}
}

func compareHistory(t *rapid.T, state *State, model *model, name string) {
	puts, floor := model.puts[name], model.floors[name]
	if got := state.ReadGroup(name).Revision; got != uint64(len(puts)) {
		t.Fatalf("group %s is at revision %d; the model is at revision %d", name, got, len(puts))
	}
	const limit = 4
	for after := range uint64(len(puts)) + 2 {
		events, upTo, ok := state.EventsAfter(name, after, limit)
		if wanted := after >= floor || after >= uint64(len(puts)); ok != wanted {
			t.Fatalf("group %s above revision %d with floor %d: got ok %v, want %v", name, after, floor, ok, wanted)
		}
		if !ok {
			continue
		}
		wanted := puts[min(after, uint64(len(puts))):]
		wanted = wanted[:min(len(wanted), limit)]
		if len(events) != len(wanted) || len(events) > 0 && !reflect.DeepEqual(events, wanted) || upTo != after+uint64(len(wanted)) {
			t.Fatalf("group %s above revision %d: got %+v up to %d; the model has %+v", name, after, events, upTo, wanted)
		}
	}
}

// Replicas that execute the same commands are equal, even if one of them was restored from its stored form in between. A command
// does not change the state that it is executed on.
func TestReplicasAreEqualAndStatesImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := Empty(), Empty()
		for _, command := range histories.Draw(t, "commands") {
			before, form := first, encoded(t, first)
			first, _, _ = first.Execute(command)
			second, _, _ = second.Execute(command)
			if !bytes.Equal(encoded(t, before), form) {
				t.Fatalf("%+v changes the state that it was executed on", command)
			}
			if !bytes.Equal(encoded(t, first), encoded(t, second)) || first.Bytes() != second.Bytes() {
				t.Fatalf("replicas differ after %+v", command)
			}
			if rapid.IntRange(0, 9).Draw(t, "restored") == 0 {
				second = decoded(t, encoded(t, second))
			}
		}
	})
}

// A state that is restored from its stored form has the same stored form, estimated size and table sizes.
func TestStateSurvivesEncodingAndDecoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := Empty()
		for _, command := range histories.Draw(t, "commands") {
			state, _, _ = state.Execute(command)
		}
		restored := decoded(t, encoded(t, state))
		if !bytes.Equal(encoded(t, restored), encoded(t, state)) {
			t.Fatal("the restored state has a different stored form")
		}
		if restored.Bytes() != state.Bytes() || restored.Counts() != state.Counts() {
			t.Fatalf("the restored state has %d bytes and %+v; the original has %d bytes and %+v",
				restored.Bytes(), restored.Counts(), state.Bytes(), state.Counts())
		}
		if state.Counts() == (Counts{}) && state.Bytes() != 0 {
			t.Fatalf("an empty state has %d bytes, want 0", state.Bytes())
		}
	})
}

// No token, number or revision is issued twice, and each one is above the earlier ones, even if the state is restored from its
// stored form in between.
func TestTokensNumbersAndRevisionsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := Empty()
		var lastToken uint64
		lastNumbers, lastRevisions := map[string]uint64{}, map[string]uint64{}
		for _, command := range histories.Draw(t, "commands") {
			before := state
			var result Result
			var err error
			state, result, err = state.Execute(command)
			if err != nil || state == before {
				continue
			}
			switch group := GroupOf(command.Name); {
			case command.Operation == BeginLock && result.Token <= lastToken,
				command.Operation == NextNumber && result.Number != lastNumbers[command.Name]+1,
				command.Operation == PutCell && result.Revision != lastRevisions[group]+1:
				t.Fatalf("%+v returned %+v after token %d, numbers %v and revisions %v", command, result, lastToken, lastNumbers, lastRevisions)
			case command.Operation == BeginLock:
				lastToken = result.Token
			case command.Operation == NextNumber:
				lastNumbers[command.Name] = result.Number
			case command.Operation == PutCell:
				lastRevisions[group] = result.Revision
			}
			if rapid.IntRange(0, 9).Draw(t, "restored") == 0 {
				state = decoded(t, encoded(t, state))
			}
		}
	})
}
