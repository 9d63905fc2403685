package http1

import (
	"time"

	"dykering/internal/core"
)

// PhaseCounts is what an earlier call of ActivePhases has counted. With it, the next call also
// reports phases that began and ended between the two.
type PhaseCounts struct {
	// Connections that have entered each state.
	connections [connStates]uint64
	// Attempts that have entered each phase.
	attempts [core.AttemptPhaseCount]uint64
}

// ActivePhases returns the phases that connections, attempts and the process are in or have been in
// since the previous call, by the names of docs/review-of-parts.md: ac accepted, he a head or body
// is read, hd held in the queue, co connecting, wr request being written, aw response awaited, cm
// response being received, wa waiting to retry, dr draining, st stopping, ho handover, re reload,
// di discovery to be followed anew.
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

// reloadWindow is how long after its begin a reload is reported, as the change of discovery takes
// effect in that time.
const reloadWindow = 50 * time.Millisecond

// BufferedBytes is how many bytes of the memory for bodies are reserved: none once all requests are
// answered.
func (s *Server) BufferedBytes() int64 {
	return core.NewMemory(s.config.Plan()).Bodies.Available() - s.memory.Bodies.Available()
}
