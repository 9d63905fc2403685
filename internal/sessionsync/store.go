package sessionsync

import (
	"time"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

const (
	// snapshotInterval is the minimum time between two snapshots on disk. A snapshot that a departure waits for is not
	// delayed.
	snapshotInterval = time.Second
	// storeRetryInterval is the pause after a failed write.
	storeRetryInterval = 100 * time.Millisecond
)

// storeState tracks the snapshots on disk and the departures that wait for them. A snapshot contains all sessions, and
// one is written at a time.
type storeState struct {
	savedIndex   uint64        // modify index of the last snapshot whose write was started
	due          time.Duration // time of the next snapshot
	retryAfter   time.Duration // after a failed write, no snapshot is written before this time
	writing      bool
	nextWaiters  []storeWaiter // departures that wait for the next snapshot
	writeWaiters []storeWaiter // departures that wait for the snapshot being written
}

// storeWaiter is a departure that waits until this member has it on disk.
type storeWaiter struct {
	member string // member to notify: a peer, or this member itself
	number uint64 // number of the departure at that member
}

// awaitStored makes a departure wait until the current table is on disk.
func (r *Replica) awaitStored(waiter storeWaiter) {
	if r.config.CanStore && len(r.store.nextWaiters) < maxDepartures {
		r.store.nextWaiters = append(r.store.nextWaiters, waiter)
	}
}

// snapshotIfDue returns the sessions to write if the interval has passed and the table has changed, or if a departure
// waits. It returns nil if no snapshot is due or if one is being written.
func (r *Replica) snapshotIfDue(now time.Duration) []sessions.Record {
	due := r.table.ModifyIndex() != r.store.savedIndex && now >= r.store.due || len(r.store.nextWaiters) > 0
	if !due || !r.config.CanStore || r.store.writing || now < r.store.retryAfter {
		return nil
	}
	r.store.writing, r.store.writeWaiters, r.store.nextWaiters = true, r.store.nextWaiters, nil
	r.store.savedIndex, r.store.due = r.table.ModifyIndex(), now+snapshotInterval
	return r.table.AllRecords(r.clock)
}

// SnapshotStored handles the result of writing a snapshot. After a failure, the departures wait for the next snapshot.
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
