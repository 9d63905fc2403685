package sessionsync

import (
	"maps"
	"slices"
	"time"

	"dykering/internal/errkind"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// maxDepartures bounds the departures that wait for their acknowledgement.
const maxDepartures = 4096

// departure is the notice of an endpoint that it drains or deregisters, until the notice is answered. Once the notice
// is acknowledged, the endpoint may stop serving. From then on no proxy may treat it as ready, whichever member the
// proxy follows, and whichever members restart or lose power, even all at once. Therefore the acknowledgement waits
// until every voter of the view has the departure on disk or, after the deadline, a majority.
type departure struct {
	id       string
	state    sessions.State // sessions.Draining or sessions.Departed
	deadline time.Duration
	storedAt map[string]bool // addresses of the members that have it on disk
	call     CallID
}

// replicateDeparture makes all voters store that an endpoint has reached a state, and answers the endpoint's call
// afterwards.
func (r *Replica) replicateDeparture(now time.Duration, core Core, id string, state sessions.State, call CallID) Output {
	var out Output
	switch {
	case !r.acknowledged[id].Before(state):
		out.answer(call, nil)
		return out
	case len(r.departures) >= maxDepartures:
		out.answer(call, errkind.New(errkind.Unavailable, "too many endpoints leave at once"))
		return out
	case !r.hasReached(id, state):
		out.answer(call, errTableFull())
		return out
	}
	r.lastNumber++
	number := r.lastNumber
	r.departures[number] = &departure{
		id: id, state: state, deadline: now + r.config.DepartureTimeout, storedAt: map[string]bool{}, call: call,
	}
	out.Departing = append(out.Departing, Departing{ID: id, State: state})
	update := protocol.SessionUpdate{From: r.config.Self, Ask: number, Records: r.table.Records(r.clock, []string{id})}
	for _, peer := range r.peers(core) {
		out.send(peer, update)
	}
	r.awaitStored(storeWaiter{member: r.config.Self, number: number})
	return out
}

// countStored records that a member has a departure on disk.
func (r *Replica) countStored(now time.Duration, core Core, number uint64, member string) Output {
	pending := r.departures[number]
	if pending == nil {
		return Output{}
	}
	pending.storedAt[member] = true
	return r.answerDeparture(now, core, number, pending)
}

// answerDeparture answers a departure if all voters have stored it or if its deadline has passed. After the deadline,
// the answer is an error if no majority has stored the departure.
func (r *Replica) answerDeparture(now time.Duration, core Core, number uint64, pending *departure) Output {
	var out Output
	stored := 0
	for _, voter := range core.Voters {
		if pending.storedAt[voter] {
			stored++
		}
	}
	expired := now > pending.deadline
	switch {
	case stored == len(core.Voters), expired && stored >= core.Majority:
		r.acknowledged[pending.id] = pending.state
		out.answer(pending.call, nil)
	case expired:
		out.answer(pending.call, errkind.New(errkind.Unavailable, "no majority has stored that the endpoint leaves"))
	default:
		return out
	}
	delete(r.departures, number)
	return out
}

// expireDepartures answers the departures whose deadline has passed, and deletes the acknowledgements of endpoints
// whose sessions have been deleted.
func (r *Replica) expireDepartures(now time.Duration, core Core) Output {
	var out Output
	for _, number := range slices.Sorted(maps.Keys(r.departures)) {
		out.add(r.answerDeparture(now, core, number, r.departures[number]))
	}
	maps.DeleteFunc(r.acknowledged, func(id string, _ sessions.State) bool {
		_, known := r.table.Get(id)
		return !known
	})
	return out
}
