package controlplane

import (
	"time"

	"dykering/internal/errkind"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// maxPendingDepartures bounds the notices that wait for their acknowledgement.
const maxPendingDepartures = 4096

// pendingDeparture is an endpoint's notice that it drains or deregisters, on its way to its acknowledgement. Once
// acknowledged, the endpoint may stop serving: no proxy may take it for ready from then on, whichever member it follows,
// and whatever members restart, or lose power all at once. So the notice waits until every voter of the view has it on disk
// or, when its deadline has passed, a majority.
type pendingDeparture struct {
	id       string
	state    sessions.State // Draining or Departed
	deadline time.Duration
	storedAt map[string]bool // addresses of the members that have it on disk
	answer   func(error)
}

// replicateDeparture has all voters store that an endpoint has reached a state, and answers the endpoint's notice
// afterwards.
func (s *Server) replicateDeparture(id string, state sessions.State, answer func(error)) {
	if !s.acknowledgedDepartures[id].Before(state) {
		answer(nil)
		return
	}
	if len(s.pendingDepartures) >= maxPendingDepartures {
		answer(errkind.New(errkind.Unavailable, "too many endpoints leave at once"))
		return
	}
	if !s.hasReached(id, state) {
		answer(errTableFull())
		return
	}
	number := s.pendingCalls.nextNumber()
	s.pendingDepartures[number] = &pendingDeparture{
		id: id, state: state, deadline: s.now() + s.timing.drainAckTimeout,
		storedAt: map[string]bool{}, answer: answer,
	}
	s.log.Info("endpoint.departing", "id", id, "state", string(state))
	self := s.chain.Self().Address
	s.broadcast(protocol.SessionUpdate{From: self, Ask: number, Records: s.sessionTable.Records(s.sessionClock, []string{id})})
	s.afterSessionsStored(func() { s.onDepartureStored(number, self) })
}

// hasReached reports whether the table has an endpoint at least as far in its life cycle as a state.
func (s *Server) hasReached(id string, state sessions.State) bool {
	known, ok := s.sessionTable.Get(id)
	return ok && !known.State.Before(state)
}

func (s *Server) onSessionAck(m protocol.SessionAck) { s.onDepartureStored(m.Ask, m.From) }

// onDepartureStored counts a member that has a notice on disk.
func (s *Server) onDepartureStored(number uint64, member string) {
	departure := s.pendingDepartures[number]
	if departure == nil {
		return
	}
	departure.storedAt[member] = true
	s.answerDeparture(number, departure)
}

// answerDeparture answers a notice that all voters have stored or, after its deadline, by whether a majority has.
func (s *Server) answerDeparture(number uint64, departure *pendingDeparture) {
	view := s.chain.View()
	stored := 0
	for _, voter := range view.Voters {
		if departure.storedAt[voter.Address] {
			stored++
		}
	}
	expired := s.now() > departure.deadline
	switch {
	case stored == len(view.Voters), expired && stored >= view.Majority():
		s.acknowledgedDepartures[departure.id] = departure.state
		departure.answer(nil)
	case expired:
		departure.answer(errkind.New(errkind.Unavailable, "no majority has stored that the endpoint leaves"))
	default:
		return
	}
	delete(s.pendingDepartures, number)
}

// expireDepartures answers the notices whose deadline has passed, and forgets the acknowledgements of endpoints whose
// session has been deleted.
func (s *Server) expireDepartures() {
	for number, departure := range s.pendingDepartures {
		s.answerDeparture(number, departure)
	}
	for id := range s.acknowledgedDepartures {
		if _, known := s.sessionTable.Get(id); !known {
			delete(s.acknowledgedDepartures, id)
		}
	}
}
