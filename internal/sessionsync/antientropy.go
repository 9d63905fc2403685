package sessionsync

import (
	"time"

	"dykering/internal/protocol"
)

// compareWithPeer compares this member's sessions with those of a peer drawn at random, at an interval, so that what a lost
// broadcast has left different is repaired.
func (r *Replica) compareWithPeer(now time.Duration, core Core) Output {
	var out Output
	peers := r.peers(core)
	if len(peers) == 0 || now < r.antiEntropyDue {
		return out
	}
	r.antiEntropyDue = now + r.config.AntiEntropyInterval
	out.send(peers[r.config.RandomIndex(len(peers))], protocol.SessionDigest{From: r.config.Self, Digests: r.table.ChildDigests(nil)})
	return out
}

// handleDigest compares the children of a range with a peer's digests. For each child that differs it replies with the digests
// one level down, or, at a leaf, with the sessions themselves and a request for the peer's.
func (r *Replica) handleDigest(m protocol.SessionDigest) Output {
	var out Output
	if !m.Range.Valid() || m.Range.IsLeaf() {
		return out
	}
	for _, child := range r.table.DifferingChildren(m.Range, m.Digests) {
		if child.IsLeaf() {
			records := r.table.RecordsIn(r.clock, child)
			out.send(m.From, protocol.SessionRange{From: r.config.Self, Range: child, Records: records, Ask: true})
			continue
		}
		out.send(m.From, protocol.SessionDigest{From: r.config.Self, Range: child, Digests: r.table.ChildDigests(child)})
	}
	return out
}

// handleRange merges a peer's sessions of a leaf, after it has replied with its own where the peer asks for them.
func (r *Replica) handleRange(m protocol.SessionRange) Output {
	var out Output
	if !m.Range.Valid() || !m.Range.IsLeaf() {
		return out
	}
	if m.Ask {
		own := r.table.RecordsIn(r.clock, m.Range)
		out.send(m.From, protocol.SessionRange{From: r.config.Self, Range: m.Range, Records: own})
	}
	r.merge(m.Records)
	return out
}
