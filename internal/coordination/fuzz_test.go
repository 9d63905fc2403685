package coordination

import (
	"bytes"
	"encoding/gob"
	"testing"
)

// seedState returns a state with entries in all tables and a history whose beginning was dropped.
func seedState() *State {
	state := Empty()
	for _, command := range []Command{
		begin("l1", "a"), begin("l1", "a"), begin("l2", "b"), next("n"), next("n"), put("g.a", "1"), put("g.b", "2"),
		put("g.a", "3"), put("h", "4"), dropHistory("g.", 2),
	} {
		state, _, _ = state.Execute(command)
	}
	return state
}

// FuzzDecode checks that any state that GobDecode accepts is valid: it can be read, changed and stored, and its estimated size
// is at most a multiple of the size of the input.
func FuzzDecode(f *testing.F) {
	for _, state := range []*State{Empty(), seedState()} {
		data, err := state.GobEncode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, stored := range []storedState{
		{Version: storedVersion + 1},
		{Version: storedVersion, Groups: []storedGroup{{Name: "g.", Revision: 5}}},
		{Version: storedVersion, Groups: []storedGroup{{Name: "g.", Revision: 1, Floor: 3}}},
		{Version: storedVersion, Numbers: []storedNumber{{Name: "n", Value: 1}, {Name: "n", Value: 2}}},
		{Version: storedVersion, Groups: []storedGroup{{Name: "g.", Revision: 1, Events: []Event{{"g.a", "1", 7}}}}},
	} {
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(stored); err != nil {
			f.Fatal(err)
		}
		f.Add(buffer.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		state := &State{}
		if state.GobDecode(data) != nil {
			return
		}
		form, err := state.GobEncode()
		if err != nil {
			t.Fatal(err)
		}
		restored := &State{}
		if err := restored.GobDecode(form); err != nil {
			t.Fatalf("decode the encoded state again: %v", err)
		}
		if restored.Bytes() != state.Bytes() || restored.Counts() != state.Counts() {
			t.Fatalf("the restored state has %d bytes and %+v; the original has %d bytes and %+v",
				restored.Bytes(), restored.Counts(), state.Bytes(), state.Counts())
		}
		if limit := (entryOverheadBytes + MaxNameBytes + 2) * (len(data) + 1); state.Bytes() > limit {
			t.Fatalf("an input of %d bytes gives a state of %d bytes, want at most %d", len(data), state.Bytes(), limit)
		}
		readAndChange(state)
	})
}

// readAndChange reads each group from the revisions at its boundaries, and executes commands on each table.
func readAndChange(state *State) {
	for iterator := state.groups.Iterator(); !iterator.Done(); {
		name, g, _ := iterator.Next()
		for _, after := range []uint64{0, g.floor, g.revision - 1, g.revision} {
			state.EventsAfter(name, after, 8)
		}
		state.compact(dropHistory(name, g.revision))
	}
	for _, command := range []Command{begin("l1", "a"), renew("l1", "a", 1), finish("l1", "a", 2), next("n"), put("g.a", "1")} {
		state, _, _ = state.Execute(command)
	}
}
