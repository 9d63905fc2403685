package coordination

import (
	"github.com/benbjohnson/immutable"

	"dykering/internal/errkind"
)

const (
	// maxStateBytes bounds the size of a state. A state must fit into one file of the ring log, and every change of the view
	// transfers it.
	maxStateBytes = 4 << 20
	// entryOverheadBytes is the estimated size of a table entry without its names and values.
	entryOverheadBytes = 64
)

// State is the state of the coordination service. It is immutable: a change returns a new state that shares the unchanged parts.
type State struct {
	// lastToken is the highest fencing token that was issued for any lock. As all locks share the counter, a released lock
	// can be dropped completely.
	lastToken uint64
	locks     *immutable.SortedMap[string, Lock]
	numbers   *immutable.SortedMap[string, uint64]
	cells     *immutable.SortedMap[string, Cell]
	groups    *immutable.SortedMap[string, *group]
	// bytes is the estimated size of the tables and the history. It is at most maxStateBytes.
	bytes int
}

// Empty returns the initial state of a system.
func Empty() *State {
	return &State{
		locks:   immutable.NewSortedMap[string, Lock](nil),
		numbers: immutable.NewSortedMap[string, uint64](nil),
		cells:   immutable.NewSortedMap[string, Cell](nil),
		groups:  immutable.NewSortedMap[string, *group](nil),
	}
}

// checkCapacity returns an error of kind errkind.RateLimited if the state has no space for the given number of bytes.
func (s *State) checkCapacity(bytes int) error {
	if s.bytes+bytes > maxStateBytes {
		return errkind.New(errkind.RateLimited, "the tables are full")
	}
	return nil
}

// Bytes returns the estimated size of the state in bytes.
func (s *State) Bytes() int { return s.bytes }

// Counts has the number of entries of each table, and the number of events in the histories of all groups.
type Counts struct{ Locks, Numbers, Cells, Groups, Events int }

// Counts returns the numbers of entries and events of the state.
func (s *State) Counts() Counts {
	counts := Counts{Locks: s.locks.Len(), Numbers: s.numbers.Len(), Cells: s.cells.Len(), Groups: s.groups.Len()}
	for iterator := s.groups.Iterator(); !iterator.Done(); {
		_, g, _ := iterator.Next()
		counts.Events += g.events.Len()
	}
	return counts
}
