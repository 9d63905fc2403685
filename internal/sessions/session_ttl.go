package sessions

import "time"

// retention is how long a session is kept after the last heartbeat. It is longer than any late heartbeat or peer's record
// is on its way: a departed endpoint must not come back by one.
const retention = 60 * time.Second

// ExpireTTLs expires the sessions whose TTL has run out by now, and deletes those past their retention. It is called
// often enough for the caller's bounds; peers are not notified, as each replica judges by its own clock.
func (t *Table) ExpireTTLs(now time.Duration) {
	for id, known := range t.rows {
		sinceLastSeen := now - known.lastSeen
		switch {
		case sinceLastSeen > retention:
			delete(t.rows, id)
		case sinceLastSeen > t.ttl && known.endpoint.State == Ready:
			t.setState(known, Expired)
		case sinceLastSeen > 2*t.ttl && known.endpoint.State == Draining:
			// It ended without deregistering. A draining endpoint takes no new requests either way, so it gets a second TTL.
			t.setState(known, Departed)
		}
	}
}

// Renew extends the TTL of a session that a peer has received a heartbeat of, age ago. It reports false for a session that
// is not in the table, whose record has then to be asked for.
func (t *Table) Renew(now time.Duration, id string, sequence uint64, age time.Duration) bool {
	known := t.rows[id]
	if known == nil {
		return false
	}
	known.lastSeen = max(known.lastSeen, now-age)
	if sequence > known.endpoint.Heartbeat.Sequence {
		known.endpoint.Heartbeat.Sequence = sequence
	}
	if known.endpoint.State == Expired && now-known.lastSeen < t.ttl {
		t.setState(known, Ready)
	}
	return true
}

func (t *Table) setState(known *row, state State) {
	next := known.endpoint
	next.State = state
	t.update(known, next)
}
