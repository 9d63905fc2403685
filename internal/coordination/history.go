package coordination

import (
	"github.com/benbjohnson/immutable"
)

// maxEventBytesPerAnswer bounds what the events of one answer count by Event.bytes, which is twice their names and values: each
// caller that catches up is sent a copy of them.
const maxEventBytesPerAnswer = 512 << 10

// Event is one put in the history of a group. Its field names are fixed: it is stored with gob.
type Event struct {
	Name     string
	Value    string
	Revision uint64
}

// bytes is what an event counts for maxStateBytes.
func (e Event) bytes() int { return 2*(len(e.Name)+len(e.Value)) + entryOverheadBytes }

// group is the count of revisions and the history of the cells whose names begin alike. It is immutable.
type group struct {
	// revision is that of the latest put.
	revision uint64
	// floor is the revision up to which the history was dropped.
	floor uint64
	// events are the puts above floor, by revision.
	events *immutable.SortedMap[uint64, Event]
	// revisions are those of the puts above floor, by cell and value, for puts that come again.
	revisions *immutable.SortedMap[string, uint64]
}

func newGroup() *group {
	return &group{
		events:    immutable.NewSortedMap[uint64, Event](nil),
		revisions: immutable.NewSortedMap[string, uint64](nil),
	}
}

// putKey identifies a put by its cell and value. A name has no byte 0: see Command.Validate.
func putKey(name, value string) string { return name + "\x00" + value }

// revisionOf returns the revision of a put that the history has.
func (g *group) revisionOf(name, value string) (revision uint64, ok bool) {
	return g.revisions.Get(putKey(name, value))
}

func (g *group) withEvent(event Event) *group {
	next := *g
	next.revision = event.Revision
	next.events = g.events.Set(event.Revision, event)
	next.revisions = g.revisions.Set(putKey(event.Name, event.Value), event.Revision)
	return &next
}

// withoutEventsUpTo drops the events up to a revision, and returns what they counted for maxStateBytes.
func (g *group) withoutEventsUpTo(floor uint64) (next *group, freed int) {
	floor = min(floor, g.revision)
	if floor <= g.floor {
		return g, 0
	}
	shortened := *g
	shortened.floor = floor
	for iterator := g.events.Iterator(); !iterator.Done(); {
		revision, event, _ := iterator.Next()
		if revision > floor {
			break
		}
		shortened.events = shortened.events.Delete(revision)
		shortened.revisions = shortened.revisions.Delete(putKey(event.Name, event.Value))
		freed += event.bytes()
	}
	return &shortened, freed
}

// EventsAfter returns the puts of a group above a revision, at most a number of them and of their bytes, and the revision up
// to which they are complete. It reports false if the history begins later. A revision that this replica has not reached yet
// has no events.
func (s *State) EventsAfter(groupName string, after uint64, most int) (events []Event, upTo uint64, ok bool) {
	g, known := s.groups.Get(groupName)
	if !known || after >= g.revision {
		return nil, after, true
	}
	if after < g.floor {
		return nil, 0, false
	}
	size := 0
	iterator := g.events.Iterator()
	for iterator.Seek(after + 1); !iterator.Done() && len(events) < most; {
		_, event, _ := iterator.Next()
		size += event.bytes()
		if len(events) > 0 && size > maxEventBytesPerAnswer {
			break
		}
		events = append(events, event)
	}
	return events, events[len(events)-1].Revision, true
}

// compact drops the history up to the floors of a command, and the holds that it names.
func (s *State) compact(command Command) *State {
	next := s
	for name, floor := range command.Floors {
		next = next.withoutHistory(name, floor)
	}
	for name, token := range command.ExpiredHolds {
		if lock, held := next.locks.Get(name); held && lock.Token == token {
			next = next.withoutLock(name)
		}
	}
	return next
}

func (s *State) withoutHistory(groupName string, floor uint64) *State {
	g, known := s.groups.Get(groupName)
	if !known {
		return s
	}
	shortened, freed := g.withoutEventsUpTo(floor)
	if shortened == g {
		return s
	}
	next := *s
	next.groups = s.groups.Set(groupName, shortened)
	next.bytes -= freed
	return &next
}
