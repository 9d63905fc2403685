package controlplane

import (
	"time"

	"dykering/internal/errkind"
	"dykering/internal/feed"
	"dykering/internal/sessions"
)

// pendingDrain waits until other control sidecars know that an endpoint leaves.
type pendingDrain struct {
	until   time.Duration
	missing map[string]bool // peers that have not acknowledged
	acks    int             // of members, this one included
	answer  func(error)
}

const mostDrains = 4096

// heard takes a heartbeat. What says that an endpoint leaves is answered once other control sidecars know it.
func (p *Process) heard(id string, beat sessions.Heartbeat, answer func(error)) {
	if !p.node.InTouch(p.now()) {
		answer(errkind.New(errkind.Unavailable, "no majority is in touch"))
		return
	}
	known, had := p.table.Get(id)
	p.table.Heard(p.sessionClock, id, beat)
	if beat.State != sessions.Draining || had && known.State != sessions.Ready && known.State != sessions.Silent {
		answer(nil)
		return
	}
	p.log.Info("endpoint.draining", "id", id, "service", beat.Service)
	p.share(id, answer)
}

func (p *Process) deregistered(id string, answer func(error)) {
	if !p.node.InTouch(p.now()) {
		answer(errkind.New(errkind.Unavailable, "no majority is in touch"))
		return
	}
	p.table.Deregister(p.sessionClock, id)
	answer(nil)
}

// share tells peers of one session and answers when they have it.
func (p *Process) share(id string, answer func(error)) {
	if len(p.drains) >= mostDrains {
		answer(errkind.New(errkind.Unavailable, "too many endpoints leave at once"))
		return
	}
	number := p.calls.number()
	drain := &pendingDrain{until: p.now() + p.timing.drainAckWithin, missing: map[string]bool{}, acks: 1, answer: answer}
	p.drains[number] = drain
	update := feed.SessionUpdate{From: p.node.Self().Address, Ask: number, Records: p.table.TakeChanged(p.sessionClock)}
	for _, peer := range p.peers() {
		drain.missing[peer] = true
		p.send(peer, update)
	}
	p.settleDrain(number, drain, false)
}

func (p *Process) onSessionAck(m feed.SessionAck) {
	drain := p.drains[m.Ask]
	if drain == nil || !drain.missing[m.From] {
		return
	}
	delete(drain.missing, m.From)
	drain.acks++
	p.settleDrain(m.Ask, drain, false)
}

// settleDrain answers a drain that all know, or, when its time is over, that a majority knows.
func (p *Process) settleDrain(id uint64, drain *pendingDrain, over bool) {
	view := p.node.View()
	switch {
	case len(drain.missing) == 0, over && drain.acks >= view.Majority():
		drain.answer(nil)
	case over:
		drain.answer(errkind.New(errkind.Unavailable, "no majority knows that the endpoint leaves"))
	default:
		return
	}
	delete(p.drains, id)
}

func (p *Process) onSessionUpdate(m feed.SessionUpdate) {
	for _, record := range m.Records {
		p.table.Merge(p.sessionClock, record)
	}
	unknown := false
	for _, sign := range m.Signs {
		unknown = !p.table.Alive(p.sessionClock, sign.ID, sign.Sequence, sign.Age) || unknown
	}
	if unknown {
		p.send(m.From, feed.SessionPull{From: p.node.Self().Address})
	}
	if m.Ask != 0 {
		p.send(m.From, feed.SessionAck{From: p.node.Self().Address, Ask: m.Ask})
	}
}

func (p *Process) onSessionWhole(m feed.SessionWhole) {
	for _, record := range m.Records {
		p.table.Merge(p.sessionClock, record)
	}
	delete(p.unheard, m.From)
}

// tellPeers passes on what endpoints have said here.
func (p *Process) tellPeers(now time.Duration) {
	update := feed.SessionUpdate{From: p.node.Self().Address, Records: p.table.TakeChanged(p.sessionClock)}
	if now >= p.signsDue {
		p.signsDue = now + p.timing.signsEvery
		update.Signs = p.table.TakeAlive(p.sessionClock)
	}
	if len(update.Records) == 0 && len(update.Signs) == 0 {
		return
	}
	for _, peer := range p.peers() {
		p.send(peer, update)
	}
}

// synchronize asks peers for their sessions after a start, a change of the view or a time without touch.
func (p *Process) synchronize(now time.Duration, inTouch bool) {
	switch {
	case !inTouch:
		p.synced, p.syncSince = false, 0
	case p.synced:
	case p.syncSince == 0:
		p.syncSince, p.unheard = now, map[string]bool{}
		for _, peer := range p.peers() {
			p.unheard[peer] = true
			p.send(peer, feed.SessionPull{From: p.node.Self().Address})
		}
	case now-p.syncSince > p.timing.syncWithin || p.heardAll(now):
		p.synced = true
	}
}

// heardAll tells whether all peers that can be reached have sent their sessions.
func (p *Process) heardAll(now time.Duration) bool {
	for peer := range p.unheard {
		if p.node.Reaches(now, peer) {
			return false
		}
	}
	return true
}
