package coordination

import (
	"strings"

	"dykering/internal/errkind"
)

// Cell is the value of a key. It is stored with gob, so its field names are fixed.
type Cell struct {
	Value string
	// Revision is the revision of the put that set the value.
	Revision uint64
}

// GroupOf returns the group of a cell. It is the cell's name up to and including the first dot, or the whole name if there is no
// dot. The cells of a group share one revision counter and one history.
func GroupOf(name string) string {
	if dot := strings.IndexByte(name, '.'); dot >= 0 {
		return name[:dot+1]
	}
	return name
}

// ReadCell returns the value of a cell and its revision. The revision of a cell that does not exist is 0.
func (s *State) ReadCell(name string) Result {
	cell, found := s.cells.Get(name)
	return Result{Value: cell.Value, Revision: cell.Revision, Found: found}
}

// ReadGroup returns the revision of the latest put in a group. The revision of a group without puts is 0.
func (s *State) ReadGroup(name string) Result {
	g, found := s.groups.Get(name)
	if !found {
		return Result{}
	}
	return Result{Revision: g.revision, Found: true}
}

func (s *State) putCell(command Command) (*State, Result, error) {
	current, exists := s.cells.Get(command.Name)
	groupName := GroupOf(command.Name)
	g, known := s.groups.Get(groupName)
	if !known {
		g = newGroup()
	}
	if exists && current.Value == command.Value {
		return s, Result{Revision: current.Revision}, nil
	}
	if revision, repeated := g.revisionOf(command.Name, command.Value); repeated {
		return s, Result{Revision: revision}, nil
	}
	if command.Conditional && command.IfRevision != current.Revision {
		return s, Result{Revision: current.Revision}, errkind.New(errkind.RevisionConflict, "")
	}
	event := Event{Name: command.Name, Value: command.Value, Revision: g.revision + 1}
	size := event.bytes() + len(command.Value) - len(current.Value)
	if !exists {
		size += entryOverheadBytes + len(command.Name)
	}
	if !known {
		size += entryOverheadBytes + len(groupName)
	}
	if err := s.checkCapacity(size); err != nil {
		return s, Result{}, err
	}
	next := *s
	next.cells = s.cells.Set(command.Name, Cell{Value: command.Value, Revision: event.Revision})
	next.groups = s.groups.Set(groupName, g.withEvent(event))
	next.bytes += size
	return &next, Result{Revision: event.Revision}, nil
}
