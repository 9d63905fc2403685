package model

import "time"

// Clock provides the time of a world, virtual or real, and runs all scheduled actions on one goroutine.
type Clock interface {
	// Now returns the present time. A clock starts at Origin.
	Now() time.Duration
	// After runs an action after a duration.
	After(d time.Duration, do func())
}

// event is an action scheduled for a time. Events of the same time run in the order in which they
// were added.
type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

// EventQueue is a binary heap of scheduled actions, earliest first. Its zero value is empty and
// ready to use.
type EventQueue struct {
	lastSequence uint64
	events       []event
}

func (e event) before(f event) bool { return e.at < f.at || e.at == f.at && e.sequence < f.sequence }

// Add schedules an action for a time.
func (q *EventQueue) Add(at time.Duration, action func()) {
	q.lastSequence++
	q.events = append(q.events, event{at, q.lastSequence, action})
	for i := len(q.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.events[i].before(q.events[parent]) {
			break
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}

// Next returns the time of the earliest action. Ok is false if the queue is empty.
func (q *EventQueue) Next() (at time.Duration, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Pop removes and returns the earliest action. The queue must not be empty.
func (q *EventQueue) Pop() (at time.Duration, action func()) {
	first := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	for i := 0; ; {
		least := 2*i + 1
		if least >= last {
			break
		}
		if r := least + 1; r < last && q.events[r].before(q.events[least]) {
			least = r
		}
		if !q.events[least].before(q.events[i]) {
			break
		}
		q.events[i], q.events[least] = q.events[least], q.events[i]
		i = least
	}
	return first.at, first.action
}
