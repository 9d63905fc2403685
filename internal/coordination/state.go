package coordination

import (
	"github.com/benbjohnson/immutable"

	"dykering/internal/errkind"
)

const (
	// maxStateBytes bounds the names and values of a state. A state must fit into a file of the ring of records, and every
	// change of the view sends it.
	maxStateBytes = 4 << 20
	// entryOverheadBytes is what an entry of a table counts beside its names and values.
	entryOverheadBytes = 64
)

// State is the state of the coordination service. It is immutable: changes return a new state that shares what is unchanged.
type State struct {
	// lastToken is the highest fencing token that was handed out, over all locks: a lock that is forgotten needs no counter.
	lastToken uint64
	locks     *immutable.SortedMap[string, Lock]
	numbers   *immutable.SortedMap[string, uint64]
	cells     *immutable.SortedMap[string, Cell]
	groups    *immutable.SortedMap[string, *group]
	// bytes is what the tables and the history count for maxStateBytes.
	bytes int
}

// Empty returns the state in which a system starts.
func Empty() *State {
	return &State{
		locks:   immutable.NewSortedMap[string, Lock](nil),
		numbers: immutable.NewSortedMap[string, uint64](nil),
		cells:   immutable.NewSortedMap[string, Cell](nil),
		groups:  immutable.NewSortedMap[string, *group](nil),
	}
}

// reserve returns an error of kind errkind.RateLimited if a state has no space for more bytes.
func (s *State) reserve(bytes int) error {
	if s.bytes+bytes > maxStateBytes {
		return errkind.New(errkind.RateLimited, "the tables are full")
	}
	return nil
}

// Bytes returns what the names and values of the state take, approximately.
func (s *State) Bytes() int { return s.bytes }

// Counts are the sizes of the tables.
type Counts struct{ Locks, Numbers, Cells, Groups, Events int }

// Counts returns the sizes of the tables.
func (s *State) Counts() Counts {
	counts := Counts{Locks: s.locks.Len(), Numbers: s.numbers.Len(), Cells: s.cells.Len(), Groups: s.groups.Len()}
	for iterator := s.groups.Iterator(); !iterator.Done(); {
		_, g, _ := iterator.Next()
		counts.Events += g.events.Len()
	}
	return counts
}
