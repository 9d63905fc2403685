package controlplane

import (
	"math/rand/v2"
	"time"

	"dykering/internal/protocol"
)

// repair compares this copy of the sessions with a peer's now and then, and tells peers how many sidecars follow a stream
// here.
func (s *Server) runAntiEntropy(now time.Duration) {
	peers := s.peerAddresses()
	if len(peers) == 0 || now < s.antiEntropyDue {
		return
	}
	s.antiEntropyDue = now + s.timing.antiEntropyInterval
	self := s.chain.Self().Address
	s.send(peers[rand.IntN(len(peers))], protocol.SessionDigest{From: self, Digests: s.table.ChildDigests(nil)})
	for _, peer := range peers {
		s.send(peer, protocol.SubscriberCount{From: self, Count: len(s.subscribers)})
	}
}

// onSessionDigest looks into the parts of a range that differ: their parts are told in turn, and the sessions themselves
// once they cannot be divided any further.
func (s *Server) onSessionDigest(m protocol.SessionDigest) {
	if !m.Range.Valid() || m.Range.IsLeaf() {
		return
	}
	self := s.chain.Self().Address
	for _, part := range s.table.DifferingChildren(m.Range, m.Digests) {
		if !part.IsLeaf() {
			s.send(m.From, protocol.SessionDigest{From: self, Range: part, Digests: s.table.ChildDigests(part)})
			continue
		}
		s.send(m.From, protocol.SessionRange{From: self, Range: part, Records: s.table.RecordsIn(s.sessionClock, part), Ask: true})
	}
}

func (s *Server) onSessionRange(m protocol.SessionRange) {
	if !m.Range.Valid() || !m.Range.IsLeaf() {
		return
	}
	if m.Ask {
		own := s.table.RecordsIn(s.sessionClock, m.Range)
		s.send(m.From, protocol.SessionRange{From: s.chain.Self().Address, Range: m.Range, Records: own})
	}
	for _, record := range m.Records {
		s.table.Merge(s.sessionClock, record)
	}
}
