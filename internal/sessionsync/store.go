package sessionsync

import (
	"time"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

const (
	// snapshotInterval is the least time between two snapshots on disk, but for one that a departure waits for.
	snapshotInterval = time.Second
	// storeRetryInterval is the time after a failed write until the next one.
	storeRetryInterval = 100 * time.Millisecond
)

// storeState is what is on disk, and what waits for it. A snapshot is written as a whole, one at a time.
type storeState struct {
	savedIndex   uint64        // modify index of the last snapshot that was handed out
	due          time.Duration // of the next one
	retryAfter   time.Duration // no snapshot is written before, as the last one failed
	writing      bool
	nextWaiters  []storeWaiter // for the next snapshot
	writeWaiters []storeWaiter // for the one that is being written
}

// storeWaiter is a departure that waits until this member has it on disk.
type storeWaiter struct {
	member string // who is told: a peer, or this member itself
	number uint64 // of the departure, at that member
}

// awaitStored has a departure wait until the table as it is now is on disk.
func (r *Replica) awaitStored(waiter storeWaiter) {
	if r.config.CanStore && len(r.store.nextWaiters) < maxDepartures {
		r.store.nextWaiters = append(r.store.nextWaiters, waiter)
	}
}

// snapshotIfDue returns the sessions to be written where the interval is over and something has changed, or where a departure
// waits for it; nil if none is due, or while one is being written.
func (r *Replica) snapshotIfDue(now time.Duration) []sessions.Record {
	due := r.table.ModifyIndex() != r.store.savedIndex && now >= r.store.due || len(r.store.nextWaiters) > 0
	if !due || !r.config.CanStore || r.store.writing || now < r.store.retryAfter {
		return nil
	}
	r.store.writing, r.store.writeWaiters, r.store.nextWaiters = true, r.store.nextWaiters, nil
	r.store.savedIndex, r.store.due = r.table.ModifyIndex(), now+snapshotInterval
	return r.table.AllRecords(r.clock)
}

// SnapshotStored takes the end of the write of a snapshot. Where it has failed, the departures wait for the next one.
func (r *Replica) SnapshotStored(now time.Duration, core Core, err error) Output {
	var out Output
	written := r.store.writeWaiters
	r.store.writing, r.store.writeWaiters = false, nil
	if err != nil {
		r.store.nextWaiters = append(written, r.store.nextWaiters...)
		r.store.retryAfter, r.store.savedIndex = now+storeRetryInterval, 0
		return out
	}
	for _, waiter := range written {
		if waiter.member == r.config.Self {
			out.add(r.countStored(now, core, waiter.number, r.config.Self))
			continue
		}
		out.send(waiter.member, protocol.SessionAck{From: r.config.Self, Ask: waiter.number})
	}
	return out
}
