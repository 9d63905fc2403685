package http1

import (
	"time"

	"dykering/internal/core"
)

// Visited is what a look at the stages has seen before, so that the next one also sees what came and went between.
type PhaseCounts struct {
	connections [connStates]uint64
	attempts    [core.AttemptPhases]uint64
}

// Stages are the stages in which something is now or was since the last look, of callers' connections, requests and the
// process itself, by the names that the review of parts gives them: ac accepted, he a head or body is read, hd held, co
// connecting, wr being written, aw answer awaited, cm answer coming, wa waiting to repeat, dr drain, st stop, ho handover,
// re reload, di discovery to be followed anew.
func (s *Server) ActivePhases(previous *PhaseCounts) (names []string) {
	report := func(name string, n int) {
		if n > 0 {
			names = append(names, name)
		}
	}
	s.clients.mu.Lock()
	for stage, name := range map[connState]string{stateNew: "ac", stateReading: "he"} {
		moved := s.clients.entered[stage]
		report(name, s.clients.byState[stage].Len()+int(moved-previous.connections[stage]))
		previous.connections[stage] = moved
	}
	s.clients.mu.Unlock()
	stats := s.loop.Stats()
	report("hd", stats.Held)
	for phase, name := range map[core.AttemptPhase]string{core.Connecting: "co", core.Writing: "wr", core.Awaiting: "aw",
		core.Coming: "cm"} {
		entered := s.upstream.phaseEntries[phase].Load()
		report(name, stats.Phases[phase]+int(entered-previous.attempts[phase]))
		previous.attempts[phase] = entered
	}
	report("wa", stats.Again)
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
	if stats.Moved {
		names = append(names, "di")
	}
	return names
}

// reloadWindow is how long after a reload it counts as under way: callers and lists are told of it in that time.
const reloadWindow = 50 * time.Millisecond

// Held is how many bytes of bodies are accounted for as held: none once a process has answered all.
func (s *Server) BufferedBytes() int64 {
	return core.NewMemory(s.config.Plan()).Bodies.Left() - s.memory.Bodies.Left()
}
