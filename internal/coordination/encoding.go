package coordination

import (
	"bytes"
	"encoding/gob"

	"github.com/benbjohnson/immutable"
	"github.com/pkg/errors"
)

// storedVersion is the version of the stored form. State.GobDecode rejects all other versions.
const storedVersion = 1

// storedState is the stored form of a State. It is encoded with gob, so the names of its fields are fixed, and so are those of
// the types that it contains.
type storedState struct {
	Version   int
	LastToken uint64
	Locks     []storedLock
	Numbers   []storedNumber
	Cells     []storedCell
	Groups    []storedGroup
}

type storedLock struct {
	Name string
	Lock Lock
}

type storedNumber struct {
	Name  string
	Value uint64
}

type storedCell struct {
	Name string
	Cell Cell
}

type storedGroup struct {
	Name     string
	Revision uint64
	Floor    uint64
	Events   []Event
}

// GobEncode returns the encoded stored form. Equal states have equal forms, as all tables are sorted.
func (s *State) GobEncode() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(s.stored())
	return buffer.Bytes(), errors.Wrap(err, "encode coordination state")
}

func (s *State) stored() storedState {
	stored := storedState{Version: storedVersion, LastToken: s.lastToken}
	for iterator := s.locks.Iterator(); !iterator.Done(); {
		name, lock, _ := iterator.Next()
		stored.Locks = append(stored.Locks, storedLock{Name: name, Lock: lock})
	}
	for iterator := s.numbers.Iterator(); !iterator.Done(); {
		name, value, _ := iterator.Next()
		stored.Numbers = append(stored.Numbers, storedNumber{Name: name, Value: value})
	}
	for iterator := s.cells.Iterator(); !iterator.Done(); {
		name, cell, _ := iterator.Next()
		stored.Cells = append(stored.Cells, storedCell{Name: name, Cell: cell})
	}
	for iterator := s.groups.Iterator(); !iterator.Done(); {
		name, g, _ := iterator.Next()
		stored.Groups = append(stored.Groups, g.stored(name))
	}
	return stored
}

func (g *group) stored(name string) storedGroup {
	stored := storedGroup{Name: name, Revision: g.revision, Floor: g.floor}
	for iterator := g.events.Iterator(); !iterator.Done(); {
		_, event, _ := iterator.Next()
		stored.Events = append(stored.Events, event)
	}
	return stored
}

// GobDecode replaces the state with the one of an encoded stored form. After an error the state is unchanged.
func (s *State) GobDecode(data []byte) error {
	var stored storedState
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&stored); err != nil {
		return errors.Wrap(err, "decode coordination state")
	}
	if stored.Version != storedVersion {
		return errors.Errorf("decode coordination state: got version %d, want version %d", stored.Version, storedVersion)
	}
	if err := stored.validate(); err != nil {
		return errors.Wrap(err, "decode coordination state")
	}
	*s = *Empty()
	s.lastToken = stored.LastToken
	s.locks = s.decodeLocks(stored.Locks)
	s.numbers = s.decodeNumbers(stored.Numbers)
	s.cells = s.decodeCells(stored.Cells)
	s.groups = s.decodeGroups(stored.Groups)
	return nil
}

func (s *State) decodeLocks(locks []storedLock) *immutable.SortedMap[string, Lock] {
	builder := immutable.NewSortedMapBuilder[string, Lock](nil)
	for _, stored := range locks {
		builder.Set(stored.Name, stored.Lock)
		s.bytes += entryOverheadBytes + len(stored.Name) + MaxNameBytes
	}
	return builder.Map()
}

func (s *State) decodeNumbers(numbers []storedNumber) *immutable.SortedMap[string, uint64] {
	builder := immutable.NewSortedMapBuilder[string, uint64](nil)
	for _, stored := range numbers {
		builder.Set(stored.Name, stored.Value)
		s.bytes += entryOverheadBytes + len(stored.Name)
	}
	return builder.Map()
}

func (s *State) decodeCells(cells []storedCell) *immutable.SortedMap[string, Cell] {
	builder := immutable.NewSortedMapBuilder[string, Cell](nil)
	for _, stored := range cells {
		builder.Set(stored.Name, stored.Cell)
		s.bytes += entryOverheadBytes + len(stored.Name) + len(stored.Cell.Value)
	}
	return builder.Map()
}

func (s *State) decodeGroups(groups []storedGroup) *immutable.SortedMap[string, *group] {
	builder := immutable.NewSortedMapBuilder[string, *group](nil)
	for _, stored := range groups {
		g := newGroup()
		for _, event := range stored.Events {
			g = g.withEvent(event)
			s.bytes += event.bytes()
		}
		g.revision = stored.Revision
		g.floor = stored.Floor
		builder.Set(stored.Name, g)
		s.bytes += entryOverheadBytes + len(stored.Name)
	}
	return builder.Map()
}
