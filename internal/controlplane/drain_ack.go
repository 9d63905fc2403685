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
type pendingLeave struct {
	id     string
	state  sessions.State  // Draining or Gone
	until  time.Duration   // when a majority is enough
	stored map[string]bool // addresses of the members that have it on disk
	answer func(error)
}

const mostLeaves = 4096

// replicateLeave has the other voters store that an endpoint leaves.
func (p *Process) replicateLeave(id string, state sessions.State, answer func(error)) {
	if !p.replicatedLeaves[id].Before(state) {
		answer(nil)
		return
	}
	if len(p.leaves) >= mostLeaves {
		answer(errkind.New(errkind.Unavailable, "too many endpoints leave at once"))
		return
	}
	if !p.knowsLeave(id, state) {
		answer(errkind.New(errkind.Unavailable, "the table of sessions is full"))
		return
	}
	number := p.calls.number()
	p.leaves[number] = &pendingLeave{id: id, state: state, until: p.now() + p.timing.drainAckWithin,
		stored: map[string]bool{}, answer: answer}
	p.log.Info("endpoint.leaves", "id", id, "state", string(state))
	update := protocol.SessionUpdate{From: p.node.Self().Address, Ask: number, Records: p.table.Records(p.sessionClock, []string{id})}
	for _, peer := range p.peers() {
		p.send(peer, update)
	}
	p.afterSaved(func() { p.leaveStored(number, p.node.Self().Address) })
}

// knowsLeave tells whether the table has it that an endpoint is at least as far on its way out as a state.
func (p *Process) knowsLeave(id string, state sessions.State) bool {
	known, ok := p.table.Get(id)
	return ok && !known.State.Before(state)
}

func (p *Process) onSessionAck(m protocol.SessionAck) { p.leaveStored(m.Ask, m.From) }

// leaveStored notes that a member has the notice of an endpoint on disk.
func (p *Process) leaveStored(number uint64, address string) {
	leave := p.leaves[number]
	if leave == nil {
		return
	}
	leave.stored[address] = true
	p.answerLeave(number, leave)
}

// answerLeave answers a notice that all voters have stored or, when its time is over, that a majority has or has not.
func (p *Process) answerLeave(number uint64, leave *pendingLeave) {
	view := p.node.View()
	stored := 0
	for _, voter := range view.Voters {
		if leave.stored[voter.Address] {
			stored++
		}
	}
	over := p.now() > leave.until
	switch {
	case stored == len(view.Voters), over && stored >= view.Majority():
		p.replicatedLeaves[leave.id] = leave.state
		leave.answer(nil)
	case over:
		leave.answer(errkind.New(errkind.Unavailable, "no majority has stored that the endpoint leaves"))
	default:
		return
	}
	delete(p.leaves, number)
}

// expireLeaves answers the notices whose time is over, and forgets endpoints that the table has forgotten.
func (p *Process) expireLeaves() {
	for number, leave := range p.leaves {
		p.answerLeave(number, leave)
	}
	for id := range p.replicatedLeaves {
		if _, known := p.table.Get(id); !known {
			delete(p.replicatedLeaves, id)
		}
	}
}
