package controlplane

import (
	"math/rand/v2"
	"time"

	"dykering/internal/protocol"
)

// repair compares this copy of the sessions with a peer's now and then, and tells peers how many sidecars follow a stream
// here.
func (p *Process) repair(now time.Duration) {
	peers := p.peers()
	if len(peers) == 0 || now < p.repairDue {
		return
	}
	p.repairDue = now + p.timing.repairEvery
	self := p.node.Self().Address
	p.send(peers[rand.IntN(len(peers))], protocol.SessionDigest{From: self, Digests: p.table.ChildDigests(nil)})
	for _, peer := range peers {
		p.send(peer, protocol.Subscribers{From: self, Count: len(p.subscribers)})
	}
}

// onSessionDigest looks into the parts of a range that differ: their parts are told in turn, and the sessions themselves
// once they cannot be divided any further.
func (p *Process) onSessionDigest(m protocol.SessionDigest) {
	if !m.Range.Valid() || m.Range.IsLeaf() {
		return
	}
	self := p.node.Self().Address
	for _, part := range p.table.DifferingChildren(m.Range, m.Digests) {
		if !part.IsLeaf() {
			p.send(m.From, protocol.SessionDigest{From: self, Range: part, Digests: p.table.ChildDigests(part)})
			continue
		}
		p.send(m.From, protocol.SessionRange{From: self, Range: part, Records: p.table.RecordsIn(p.sessionClock, part), Ask: true})
	}
}

func (p *Process) onSessionRange(m protocol.SessionRange) {
	if !m.Range.Valid() || !m.Range.IsLeaf() {
		return
	}
	if m.Ask {
		own := p.table.RecordsIn(p.sessionClock, m.Range)
		p.send(m.From, protocol.SessionRange{From: p.node.Self().Address, Range: m.Range, Records: own})
	}
	for _, record := range m.Records {
		p.table.Merge(p.sessionClock, record)
	}
}
