package controlplane

import (
	"time"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// onSessionUpdate takes sessions from another control sidecar. What it asks about is acknowledged once it is on disk.
func (p *Process) onSessionUpdate(m protocol.SessionUpdate) {
	for _, record := range m.Records {
		p.table.Merge(p.sessionClock, record)
	}
	unknown := false
	for _, sign := range m.Signs {
		unknown = !p.table.Renew(p.sessionClock, sign.ID, sign.Sequence, sign.Age) || unknown
	}
	if unknown {
		p.send(m.From, protocol.SessionPull{From: p.node.Self().Address})
	}
	if m.Ask != 0 && p.knowsAll(m.Records) {
		p.afterSaved(func() { p.send(m.From, protocol.SessionAck{From: p.node.Self().Address, Ask: m.Ask}) })
	}
}

// knowsAll tells whether the table has what records say of their endpoints' states.
func (p *Process) knowsAll(records []sessions.Record) bool {
	for _, record := range records {
		if !p.knowsLeave(record.Endpoint.ID, record.Endpoint.State) {
			return false
		}
	}
	return true
}

func (p *Process) onSessionWhole(m protocol.SessionWhole) {
	for _, record := range m.Records {
		p.table.Merge(p.sessionClock, record)
	}
	delete(p.unheard, m.From)
}

// sendSessionUpdates passes on what endpoints have said here.
func (p *Process) sendSessionUpdates(now time.Duration) {
	update := protocol.SessionUpdate{From: p.node.Self().Address, Records: p.table.FlushModified(p.sessionClock)}
	if now >= p.signsDue {
		p.signsDue = now + p.timing.signsEvery
		update.Signs = p.table.FlushRenewals(p.sessionClock)
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
			p.send(peer, protocol.SessionPull{From: p.node.Self().Address})
		}
	case now-p.syncSince > p.timing.syncWithin || p.allPeersAnswered(now):
		p.synced = true
	}
}

// allPeersAnswered tells whether all peers that can be reached have sent their sessions.
func (p *Process) allPeersAnswered(now time.Duration) bool {
	for peer := range p.unheard {
		if p.node.IsReachable(now, peer) {
			return false
		}
	}
	return true
}
