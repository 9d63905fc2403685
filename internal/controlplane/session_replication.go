package controlplane

import (
	"time"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// Sessions are replicated in three ways: each change is broadcast by the member that received the heartbeat (here), a
// member that comes into a view asks its peers for all sessions (here, sessionSync), and what was lost on the way is
// found by comparison (anti_entropy.go).

// sessionSync is the progress of the full sync that a member makes before it serves streams, and the times at which the
// next messages are due.
type sessionSync struct {
	complete bool
	// startedAt is when this member asked its peers for their sessions; 0 before.
	startedAt time.Duration
	// awaited are the addresses of the peers that have not sent their sessions since.
	awaited map[string]bool

	renewalsDue    time.Duration
	antiEntropyDue time.Duration
}

// restart has the next tick start another full sync.
func (sync *sessionSync) restart() { sync.complete, sync.startedAt = false, 0 }

// updateFullSync starts or completes a full sync. One is needed after a start, after a change of the view and after a time
// without a quorum, as broadcasts of that time are missing here.
func (s *Server) updateFullSync(now time.Duration, hasQuorum bool) {
	sync := &s.sessionSync
	switch {
	case !hasQuorum:
		sync.restart()
	case sync.complete:
	case sync.startedAt == 0:
		sync.startedAt, sync.awaited = now, map[string]bool{}
		for _, peer := range s.peerAddresses() {
			sync.awaited[peer] = true
			s.send(peer, protocol.SessionSnapshotRequest{From: s.chain.Self().Address})
		}
	case now-sync.startedAt > s.timing.fullSyncTimeout || s.haveReachablePeersAnswered(now):
		sync.complete = true
	}
}

// haveReachablePeersAnswered reports whether all peers that can be reached have sent their sessions.
func (s *Server) haveReachablePeersAnswered(now time.Duration) bool {
	for peer := range s.sessionSync.awaited {
		if s.chain.IsReachable(now, peer) {
			return false
		}
	}
	return true
}

func (s *Server) onSessionSnapshotRequest(m protocol.SessionSnapshotRequest) {
	s.send(m.From, protocol.SessionSnapshot{From: s.chain.Self().Address, Records: s.sessionTable.AllRecords(s.sessionClock)})
}

func (s *Server) onSessionSnapshot(m protocol.SessionSnapshot) {
	s.mergeSessions(m.Records)
	delete(s.sessionSync.awaited, m.From)
}

// broadcastSessions sends the peers what endpoints have reported to this member since the last time: changed sessions at
// once, renewals at their interval.
func (s *Server) broadcastSessions(now time.Duration) {
	update := protocol.SessionUpdate{From: s.chain.Self().Address, Records: s.sessionTable.FlushModified(s.sessionClock)}
	if now >= s.sessionSync.renewalsDue {
		s.sessionSync.renewalsDue = now + s.timing.renewalInterval
		update.Signs = s.sessionTable.FlushRenewals(s.sessionClock)
	}
	if len(update.Records) == 0 && len(update.Signs) == 0 {
		return
	}
	s.broadcast(update)
}

// onSessionUpdate stores sessions that endpoints have reported to a peer. An update that asks for an acknowledgement, as of
// a departure, gets it once the sessions are on this member's disk.
func (s *Server) onSessionUpdate(m protocol.SessionUpdate) {
	s.mergeSessions(m.Records)
	unknown := false
	for _, renewal := range m.Signs {
		if !s.sessionTable.Renew(s.sessionClock, renewal.ID, renewal.Sequence, renewal.Age) {
			unknown = true
		}
	}
	if unknown {
		// The session's record was lost on its way here.
		s.send(m.From, protocol.SessionSnapshotRequest{From: s.chain.Self().Address})
	}
	if m.Ask != 0 && s.hasStates(m.Records) {
		s.afterSessionsStored(func() { s.send(m.From, protocol.SessionAck{From: s.chain.Self().Address, Ask: m.Ask}) })
	}
}

// hasStates reports whether the table has each endpoint at least as far in its life cycle as the records say. It has not
// where it is full: an acknowledgement would then be given for what was not stored.
func (s *Server) hasStates(records []sessions.Record) bool {
	for _, record := range records {
		if !s.hasReached(record.Endpoint.ID, record.Endpoint.State) {
			return false
		}
	}
	return true
}

func (s *Server) mergeSessions(records []sessions.Record) {
	for _, record := range records {
		s.sessionTable.Merge(s.sessionClock, record)
	}
}
