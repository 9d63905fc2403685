package controlplane

import (
	"dykering/internal/errkind"
	"dykering/internal/sessions"
)

// takeHeartbeat takes a heartbeat of an endpoint. One that says that the endpoint leaves is acknowledged once that is
// replicated.
func (p *Process) takeHeartbeat(id string, beat sessions.Heartbeat, answer func(error)) {
	if !p.node.HasQuorum(p.now()) {
		answer(errkind.New(errkind.Unavailable, "no majority is in touch"))
		return
	}
	p.table.ApplyHeartbeat(p.sessionClock, id, beat)
	if beat.State == sessions.Draining {
		p.replicateLeave(id, sessions.Draining, answer)
		return
	}
	if _, ok := p.table.Get(id); !ok {
		answer(errkind.New(errkind.Unavailable, "the table of sessions is full"))
		return
	}
	answer(nil)
}

// deregister notes that an endpoint has gone, and acknowledges it once that is replicated.
func (p *Process) deregister(id string, answer func(error)) {
	if !p.node.HasQuorum(p.now()) {
		answer(errkind.New(errkind.Unavailable, "no majority is in touch"))
		return
	}
	p.table.Deregister(p.sessionClock, id)
	p.replicateLeave(id, sessions.Departed, answer)
}
