package coordination

import (
	"github.com/benbjohnson/immutable"
)

// maxEventBytesPerAnswer bounds the size of the events in one answer, because each caller that catches up receives its own copy.
// The size is the sum of Event.bytes, which counts names and values twice.
const maxEventBytesPerAnswer = 512 << 10

// Event is one put in the history of a group. It is stored with gob, so its field names are fixed.
type Event struct {
	Name     string
	Value    string
	Revision uint64
}

// bytes returns the estimated size of an event. Names and values count twice, as group.revisions has them too.
func (e Event) bytes() int { return 2*(len(e.Name)+len(e.Value)) + entryOverheadBytes }

// group has the revision counter and the history of the cells of one group (see GroupOf). It is immutable.
type group struct {
	// revision is the revision of the latest put.
	revision uint64
	// floor is the revision up to which the history was dropped.
	floor uint64
	// events are the puts above floor, by revision.
	events *immutable.SortedMap[uint64, Event]
	// revisions are the revisions of the puts above floor, by putKey. They identify repeated puts.
	revisions *immutable.SortedMap[string, uint64]
}

func newGroup() *group {
	return &group{
		events:    immutable.NewSortedMap[uint64, Event](nil),
		revisions: immutable.NewSortedMap[string, uint64](nil),
	}
}

// putKey identifies a put by its cell and value. The result is unambiguous, as Command.Validate rejects names with a zero byte.
func putKey(name, value string) string { return name + "\x00" + value }

// revisionOf returns the revision of a put. If the history does not have the put, ok is false.
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

// withoutEventsUpTo returns the group without the events up to a revision, and the total size of the dropped events.
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

// EventsAfter returns the puts of a group above a revision, and the revision up to which the returned puts are complete. It
// returns at most limit events and, apart from the first event, at most maxEventBytesPerAnswer. If the history starts after
// the given revision, ok is false. If this replica has not reached the given revision yet, there are no events.
func (s *State) EventsAfter(groupName string, after uint64, limit int) (events []Event, upTo uint64, ok bool) {
	g, known := s.groups.Get(groupName)
	if !known || after >= g.revision {
		return nil, after, true
	}
	if after < g.floor {
		return nil, 0, false
	}
	size := 0
	iterator := g.events.Iterator()
	for iterator.Seek(after + 1); !iterator.Done() && len(events) < limit; {
		_, event, _ := iterator.Next()
		size += event.bytes()
		if len(events) > 0 && size > maxEventBytesPerAnswer {
			break
		}
		events = append(events, event)
	}
	return events, events[len(events)-1].Revision, true
}

// compact returns the state without the history up to Command.Floors and without the holds in Command.ExpiredHolds.
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
