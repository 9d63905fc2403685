package sessions

import "time"

// retention is how long a session is kept after the last heartbeat. It must exceed the delay of any heartbeat or record of a
// peer, so that a delayed one does not add a departed endpoint again.
const retention = 60 * time.Second

// ExpireTTLs expires the sessions whose TTL has elapsed, and deletes the sessions whose retention has elapsed. The caller must
// call it regularly, as often as the accuracy of the expiry requires. Peers are not notified, since each replica determines the
// expiry by its own clock.
func (t *Table) ExpireTTLs(now time.Duration) {
	for id, stored := range t.rows {
		sinceLastSeen := now - stored.lastSeen
		switch {
		case sinceLastSeen > retention:
			delete(t.rows, id)
		case sinceLastSeen > t.ttl && stored.endpoint.State == Ready:
			t.setState(stored, Expired)
		case sinceLastSeen > 2*t.ttl && stored.endpoint.State == Draining:
			// The endpoint has ended without deregistering. It can be given twice the TTL, since a draining endpoint gets no new
			// requests anyway.
			t.setState(stored, Departed)
		}
	}
}

// Renew applies a renewal of a peer: it extends the TTL of a session whose heartbeat the peer has received the given age ago.
// It returns false if the session is not in the table, so that the caller must request its record.
func (t *Table) Renew(now time.Duration, id string, sequence uint64, age time.Duration) bool {
	stored := t.rows[id]
	if stored == nil {
		return false
	}
	stored.lastSeen = max(stored.lastSeen, now-age)
	if sequence > stored.endpoint.Heartbeat.Sequence {
		stored.endpoint.Heartbeat.Sequence = sequence
	}
	if stored.endpoint.State == Expired && now-stored.lastSeen < t.ttl {
		t.setState(stored, Ready)
	}
	return true
}

// setState changes the state of a session.
func (t *Table) setState(stored *row, state State) {
	next := stored.endpoint
	next.State = state
	t.update(stored, next)
}
