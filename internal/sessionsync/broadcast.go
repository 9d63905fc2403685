package sessionsync

import (
	"time"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// broadcast sends the peers what endpoints have reported to this member since the last time: changed sessions at once, renewals
// at their interval.
func (r *Replica) broadcast(now time.Duration, core Core) Output {
	var out Output
	update := protocol.SessionUpdate{From: r.config.Self, Records: r.table.FlushModified(r.clock)}
	if now >= r.renewalsDue {
		r.renewalsDue = now + r.config.RenewalInterval
		update.Signs = r.table.FlushRenewals(r.clock)
	}
	if len(update.Records) == 0 && len(update.Signs) == 0 {
		return out
	}
	for _, peer := range r.peers(core) {
		out.send(peer, update)
	}
	return out
}

// handleUpdate stores sessions that endpoints have reported to a peer. An update that asks for an acknowledgement, as of a
// departure, gets it once the sessions are on this member's disk.
func (r *Replica) handleUpdate(m protocol.SessionUpdate) Output {
	var out Output
	r.merge(m.Records)
	unknown := false
	for _, renewal := range m.Signs {
		if !r.table.Renew(r.clock, renewal.ID, renewal.Sequence, renewal.Age) {
			unknown = true
		}
	}
	if unknown {
		// The session's record was lost on its way here.
		out.send(m.From, protocol.SessionSnapshotRequest{From: r.config.Self})
	}
	if m.Ask != 0 && r.hasReachedAll(m.Records) {
		r.awaitStored(storeWaiter{member: m.From, number: m.Ask})
	}
	return out
}

// hasReachedAll reports whether the table has each endpoint at least as far in its life cycle as the records say. It has not where
// it is full: an acknowledgement would then be given for what was not stored.
func (r *Replica) hasReachedAll(records []sessions.Record) bool {
	for _, record := range records {
		if !r.hasReached(record.Endpoint.ID, record.Endpoint.State) {
			return false
		}
	}
	return true
}
