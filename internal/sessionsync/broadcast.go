package sessionsync

import (
	"time"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// broadcast sends the peers what endpoints have reported to this member since the last broadcast: changed sessions at
// once, and renewals once per renewal interval.
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

// handleUpdate stores sessions that endpoints have reported to a peer. If the update asks for an acknowledgement, as
// the one for a departure does, the acknowledgement is sent once the sessions are on this member's disk.
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
		// The broadcast with the record of this session was lost.
		out.send(m.From, protocol.SessionSnapshotRequest{From: r.config.Self})
	}
	if m.Ask != 0 && r.hasReachedAll(m.Records) {
		r.awaitStored(storeWaiter{member: m.From, number: m.Ask})
	}
	return out
}

// hasReachedAll reports whether the table has each endpoint in the state of its record or in a later one. It returns
// false if the table is full: an acknowledgement would otherwise cover sessions that were not stored.
func (r *Replica) hasReachedAll(records []sessions.Record) bool {
	for _, record := range records {
		if !r.hasReached(record.Endpoint.ID, record.Endpoint.State) {
			return false
		}
	}
	return true
}
