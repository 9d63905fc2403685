package sessionsync

import (
	"time"

	"dykering/internal/protocol"
)

// fullSync is the progress of the full sync that a member makes before it serves streams.
type fullSync struct {
	complete bool
	// startedAt is when this member asked its peers for their sessions; 0 before.
	startedAt time.Duration
	// awaited are the addresses of the peers that have not sent their sessions since.
	awaited map[string]bool
}

// RestartSync has the next tick start another full sync: a member that was outside the view has missed broadcasts.
func (r *Replica) RestartSync() { r.sync = fullSync{} }

// IsSynced reports whether a full sync is complete, so that streams may be served.
func (r *Replica) IsSynced() bool { return r.sync.complete }

// updateFullSync starts or completes a full sync. One is needed after a start, after a change of the view and after a time
// without a quorum, as broadcasts of that time are missing here.
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

// haveReachablePeersAnswered reports whether all peers that can be reached have sent their sessions.
func (r *Replica) haveReachablePeersAnswered(core Core) bool {
	for peer := range r.sync.awaited {
		if core.IsReachable(peer) {
			return false
		}
	}
	return true
}

func (r *Replica) handleSnapshotRequest(m protocol.SessionSnapshotRequest) Output {
	var out Output
	out.send(m.From, protocol.SessionSnapshot{From: r.config.Self, Records: r.table.AllRecords(r.clock)})
	return out
}

func (r *Replica) handleSnapshot(m protocol.SessionSnapshot) {
	r.merge(m.Records)
	delete(r.sync.awaited, m.From)
}
