package http1

import (
	"time"

	"dykering/internal/core"
)

// PhaseCounts holds the counters that the previous call of ActivePhases has seen. With them, the next
// call also reports phases that began and ended between the two calls.
type PhaseCounts struct {
	// How many connections have entered each state.
	connections [connStates]uint64
	// How many attempts have entered each phase.
	attempts [core.AttemptPhaseCount]uint64
}

// ActivePhases returns the phases that connections, attempts and the process are in, or have been in
// since the previous call. The simulations use these names:
//
//	ac  a connection is accepted, no byte received
//	he  a head or body is being read
//	hd  a request waits in the queue
//	co  an attempt is connecting
//	wr  a request is being written
//	aw  a response is awaited
//	cm  a response is being received
//	wa  a call waits for its retry
//	dr  the process drains
//	st  the process stops
//	ho  the process stops and has a successor
//	re  a reload has just begun
//	di  a full list from discovery is awaited
func (s *Server) ActivePhases(previous *PhaseCounts) (names []string) {
	report := func(name string, n int) {
		if n > 0 {
			names = append(names, name)
		}
	}
	s.clients.mu.Lock()
	for state, name := range map[connState]string{stateNew: "ac", stateReading: "he"} {
		entered := s.clients.entered[state]
		report(name, s.clients.byState[state].Len()+int(entered-previous.connections[state]))
		previous.connections[state] = entered
	}
	s.clients.mu.Unlock()
	stats := s.loop.Stats()
	report("hd", stats.Queued)
	for phase, name := range map[core.AttemptPhase]string{
		core.PhaseConnecting: "co",
		core.PhaseSending:    "wr",
		core.PhaseAwaiting:   "aw",
		core.PhaseReceiving:  "cm",
	} {
		entered := s.upstream.phaseEntries[phase].Load()
		report(name, stats.Phases[phase]+int(entered-previous.attempts[phase]))
		previous.attempts[phase] = entered
	}
	report("wa", stats.AwaitingRetry)
	switch phase, _, _ := s.lifecycle.Now(); {
	case phase == core.Draining:
		names = append(names, "dr")
	case phase == core.Stopping && s.hasSuccessor():
		names = append(names, "ho")
	case phase == core.Stopping:
		names = append(names, "st")
	}
	if at := s.lastReload.Load(); at != 0 && time.Since(time.Unix(0, at)) < reloadWindow {
		names = append(names, "re")
	}
	if stats.AwaitingFullList {
		names = append(names, "di")
	}
	return names
}

// reloadWindow is how long after its start a reload is reported. The change of the discovery address
// takes effect within that time.
const reloadWindow = 50 * time.Millisecond

// BufferedBytes returns how many bytes of the memory for bodies are reserved. It is 0 once all
// requests are answered.
func (s *Server) BufferedBytes() int64 {
	return core.NewMemory(s.config.Plan()).Bodies.Available() - s.memory.Bodies.Available()
}
