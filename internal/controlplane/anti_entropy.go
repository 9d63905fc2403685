package controlplane

import (
	"math/rand/v2"
	"time"

	"dykering/internal/protocol"
)

// runAntiEntropy compares this member's sessions with those of a peer drawn at random, at an interval, so that what a lost
// broadcast has left different is repaired. It also broadcasts the number of this member's subscribers.
func (s *Server) runAntiEntropy(now time.Duration) {
	peers := s.peerAddresses()
	if len(peers) == 0 || now < s.sessionSync.antiEntropyDue {
		return
	}
	s.sessionSync.antiEntropyDue = now + s.timing.antiEntropyInterval
	self := s.chain.Self().Address
	s.send(peers[rand.IntN(len(peers))], protocol.SessionDigest{From: self, Digests: s.sessionTable.ChildDigests(nil)})
	s.broadcast(protocol.SubscriberCount{From: self, Count: len(s.subscribers)})
}

// onSessionDigest compares the children of a range with a peer's digests. For each child that differs it replies with the
// digests one level down, or, at a leaf, with the sessions themselves and a request for the peer's.
func (s *Server) onSessionDigest(m protocol.SessionDigest) {
	if !m.Range.Valid() || m.Range.IsLeaf() {
		return
	}
	self := s.chain.Self().Address
	for _, child := range s.sessionTable.DifferingChildren(m.Range, m.Digests) {
		if child.IsLeaf() {
			s.send(m.From, protocol.SessionRange{From: self, Range: child, Records: s.sessionTable.RecordsIn(s.sessionClock, child), Ask: true})
			continue
		}
		s.send(m.From, protocol.SessionDigest{From: self, Range: child, Digests: s.sessionTable.ChildDigests(child)})
	}
}

// onSessionRange merges a peer's sessions of a leaf, after it has replied with its own where the peer asks for them.
func (s *Server) onSessionRange(m protocol.SessionRange) {
	if !m.Range.Valid() || !m.Range.IsLeaf() {
		return
	}
	if m.Ask {
		own := s.sessionTable.RecordsIn(s.sessionClock, m.Range)
		s.send(m.From, protocol.SessionRange{From: s.chain.Self().Address, Range: m.Range, Records: own})
	}
	s.mergeSessions(m.Records)
}
