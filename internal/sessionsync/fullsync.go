package sessionsync

import (
	"time"

	"dykering/internal/protocol"
)

// fullSync is the progress of the full sync that a member completes before it serves streams.
type fullSync struct {
	complete bool
	// startedAt is when this member asked its peers for their sessions, or 0 if it has not done so.
	startedAt time.Duration
	// awaited holds the addresses of the peers that have not sent their sessions since then.
	awaited map[string]bool
}

// RestartSync makes the next tick start another full sync. A member that was outside the view needs one, because it has
// missed broadcasts.
func (r *Replica) RestartSync() { r.sync = fullSync{} }

// IsSynced reports whether the full sync is complete, so that this member may serve streams.
func (r *Replica) IsSynced() bool { return r.sync.complete }

// updateFullSync starts or completes a full sync. A member needs one after a start, after a view change and after a
// time without a quorum, because it has missed the broadcasts of that time.
func (r *Replica) updateFullSync(now time.Duration, core Core) Output {
	var out Output
	switch {
	case !core.HasQuorum:
		r.RestartSync()
	case r.sync.complete:
	case r.sync.startedAt == 0:
		r.sync = fullSync{startedAt: now, awaited: map[string]bool{}}
		for _, peer := range r.peers(core) {
			r.sync.awaited[peer] = true
			out.send(peer, protocol.SessionSnapshotRequest{From: r.config.Self})
		}
	case now-r.sync.startedAt > r.config.FullSyncTimeout || r.haveReachablePeersAnswered(core):
		r.sync.complete = true
	}
	return out
}

// haveReachablePeersAnswered reports whether all reachable peers have sent their sessions.
func (r *Replica) haveReachablePeersAnswered(core Core) bool {
	for peer := range r.sync.awaited {
		if core.IsReachable(peer) {
			return false
		}
	}
	return true
}

// handleSnapshotRequest sends all sessions to a peer.
func (r *Replica) handleSnapshotRequest(m protocol.SessionSnapshotRequest) Output {
	var out Output
	out.send(m.From, protocol.SessionSnapshot{From: r.config.Self, Records: r.table.AllRecords(r.clock)})
	return out
}

// handleSnapshot merges all sessions of a peer.
func (r *Replica) handleSnapshot(m protocol.SessionSnapshot) {
	r.merge(m.Records)
	delete(r.sync.awaited, m.From)
}
