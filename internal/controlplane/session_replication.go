package controlplane

import (
	"time"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// onSessionUpdate takes sessions from another control sidecar. What it asks about is acknowledged once it is on disk.
func (s *Server) onSessionUpdate(m protocol.SessionUpdate) {
	for _, record := range m.Records {
		s.table.Merge(s.sessionClock, record)
	}
	unknown := false
	for _, sign := range m.Signs {
		unknown = !s.table.Renew(s.sessionClock, sign.ID, sign.Sequence, sign.Age) || unknown
	}
	if unknown {
		s.send(m.From, protocol.SessionSnapshotRequest{From: s.chain.Self().Address})
	}
	if m.Ask != 0 && s.hasAllDepartures(m.Records) {
		s.afterSessionsStored(func() { s.send(m.From, protocol.SessionAck{From: s.chain.Self().Address, Ask: m.Ask}) })
	}
}

// knowsAll tells whether the table has what records say of their endpoints' states.
func (s *Server) hasAllDepartures(records []sessions.Record) bool {
	for _, record := range records {
		if !s.hasDeparture(record.Endpoint.ID, record.Endpoint.State) {
			return false
		}
	}
	return true
}

func (s *Server) onSessionFullSync(m protocol.SessionSnapshot) {
	for _, record := range m.Records {
		s.table.Merge(s.sessionClock, record)
	}
	delete(s.awaitedPeers, m.From)
}

// sendSessionUpdates passes on what endpoints have said here.
func (s *Server) broadcastSessions(now time.Duration) {
	update := protocol.SessionUpdate{From: s.chain.Self().Address, Records: s.table.FlushModified(s.sessionClock)}
	if now >= s.renewalsDue {
		s.renewalsDue = now + s.timing.renewalInterval
		update.Signs = s.table.FlushRenewals(s.sessionClock)
	}
	if len(update.Records) == 0 && len(update.Signs) == 0 {
		return
	}
	for _, peer := range s.peerAddresses() {
		s.send(peer, update)
	}
}

// synchronize asks peers for their sessions after a start, a change of the view or a time without touch.
func (s *Server) updateFullSync(now time.Duration, inTouch bool) {
	switch {
	case !inTouch:
		s.synced, s.fullSyncSince = false, 0
	case s.synced:
	case s.fullSyncSince == 0:
		s.fullSyncSince, s.awaitedPeers = now, map[string]bool{}
		for _, peer := range s.peerAddresses() {
			s.awaitedPeers[peer] = true
			s.send(peer, protocol.SessionSnapshotRequest{From: s.chain.Self().Address})
		}
	case now-s.fullSyncSince > s.timing.fullSyncTimeout || s.reachablePeersAnswered(now):
		s.synced = true
	}
}

// allPeersAnswered tells whether all peers that can be reached have sent their sessions.
func (s *Server) reachablePeersAnswered(now time.Duration) bool {
	for peer := range s.awaitedPeers {
		if s.chain.IsReachable(now, peer) {
			return false
		}
	}
	return true
}
