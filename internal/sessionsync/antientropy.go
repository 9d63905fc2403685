package sessionsync

import (
	"time"

	"dykering/internal/protocol"
)

// compareWithPeer starts a comparison of this member's sessions with those of a random peer, once per interval.
// Comparisons repair the differences that lost broadcasts leave.
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

// handleDigest compares the digests of a peer with those of this replica, for the children of a range. For each child
// that differs it sends the digests one level down or, for a leaf, the sessions themselves with a request for the
// peer's sessions.
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

// handleRange merges the sessions of a peer in a leaf range. If the peer asks for this replica's sessions, handleRange
// sends them before the merge.
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
