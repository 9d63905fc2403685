package sessions

import "time"

// retention is how long a session is kept after the last heartbeat. It is longer than any late heartbeat or peer's record
// is on its way: a departed endpoint must not come back by one.
const retention = 60 * time.Second

// ExpireTTLs expires the sessions whose TTL has run out by now, and deletes those past their retention. It is called
// often enough for the caller's bounds; peers are not notified, as each replica judges by its own clock.
func (t *Table) ExpireTTLs(now time.Duration) {
	for id, stored := range t.rows {
		sinceLastSeen := now - stored.lastSeen
		switch {
		case sinceLastSeen > retention:
			delete(t.rows, id)
		case sinceLastSeen > t.ttl && stored.endpoint.State == Ready:
			t.setState(stored, Expired)
		case sinceLastSeen > 2*t.ttl && stored.endpoint.State == Draining:
			// It ended without deregistering. A draining endpoint takes no new requests either way, so it gets a second TTL.
			t.setState(stored, Departed)
		}
	}
}

// Renew extends the TTL of a session that a peer has received a heartbeat of, age ago. It reports false for a session that
// is not in the table, whose record has then to be asked for.
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

func (t *Table) setState(stored *row, state State) {
	next := stored.endpoint
	next.State = state
	t.update(stored, next)
}
