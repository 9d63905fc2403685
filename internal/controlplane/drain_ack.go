package controlplane

import (
	"time"

	"dykering/internal/errkind"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// pendingLeave is the notice of an endpoint that it leaves. Its acknowledgement binds all sidecars and must outlive the
// member that gave it, and a loss of power of all members: it waits until every voter of the view has the notice on disk,
// or, after a while, a majority.
type pendingDeparture struct {
	id       string
	state    sessions.State  // Draining or Gone
	deadline time.Duration   // when a majority is enough
	storedAt map[string]bool // addresses of the members that have it on disk
	answer   func(error)
}

const maxPendingDepartures = 4096

// replicateLeave has the other voters store that an endpoint leaves.
func (s *Server) replicateDeparture(id string, state sessions.State, answer func(error)) {
	if !s.acknowledgedDepartures[id].Before(state) {
		answer(nil)
		return
	}
	if len(s.departures) >= maxPendingDepartures {
		answer(errkind.New(errkind.Unavailable, "too many endpoints leave at once"))
		return
	}
	if !s.hasDeparture(id, state) {
		answer(errkind.New(errkind.Unavailable, "the table of sessions is full"))
		return
	}
	number := s.pending.nextNumber()
	s.departures[number] = &pendingDeparture{id: id, state: state, deadline: s.now() + s.timing.drainAckTimeout,
		storedAt: map[string]bool{}, answer: answer}
	s.log.Info("endpoint.leaves", "id", id, "state", string(state))
	update := protocol.SessionUpdate{From: s.chain.Self().Address, Ask: number, Records: s.table.Records(s.sessionClock, []string{id})}
	for _, peer := range s.peerAddresses() {
		s.send(peer, update)
	}
	s.afterSessionsStored(func() { s.departureStored(number, s.chain.Self().Address) })
}

// knowsLeave tells whether the table has it that an endpoint is at least as far on its way out as a state.
func (s *Server) hasDeparture(id string, state sessions.State) bool {
	known, ok := s.table.Get(id)
	return ok && !known.State.Before(state)
}

func (s *Server) onSessionAck(m protocol.SessionAck) { s.departureStored(m.Ask, m.From) }

// leaveStored notes that a member has the notice of an endpoint on disk.
func (s *Server) departureStored(number uint64, address string) {
	leave := s.departures[number]
	if leave == nil {
		return
	}
	leave.storedAt[address] = true
	s.answerDeparture(number, leave)
}

// answerLeave answers a notice that all voters have stored or, when its time is over, that a majority has or has not.
func (s *Server) answerDeparture(number uint64, leave *pendingDeparture) {
	view := s.chain.View()
	stored := 0
	for _, voter := range view.Voters {
		if leave.storedAt[voter.Address] {
			stored++
		}
	}
	over := s.now() > leave.deadline
	switch {
	case stored == len(view.Voters), over && stored >= view.Majority():
		s.acknowledgedDepartures[leave.id] = leave.state
		leave.answer(nil)
	case over:
		leave.answer(errkind.New(errkind.Unavailable, "no majority has stored that the endpoint leaves"))
	default:
		return
	}
	delete(s.departures, number)
}

// expireLeaves answers the notices whose time is over, and forgets endpoints that the table has forgotten.
func (s *Server) expireDepartures() {
	for number, leave := range s.departures {
		s.answerDeparture(number, leave)
	}
	for id := range s.acknowledgedDepartures {
		if _, known := s.table.Get(id); !known {
			delete(s.acknowledgedDepartures, id)
		}
	}
}
