package sessions

import (
	"sort"
	"time"
)

// Record is a session as replicas send it to each other. Since replicas have no common clock, a record contains the age of the
// latest heartbeat instead of its time.
type Record struct {
	Endpoint Endpoint
	Age      time.Duration // time since the latest heartbeat
}

// Renewal tells peers that an endpoint has sent a heartbeat in which nothing but the sequence number is new. It is sent in
// place of a complete record, which most heartbeats do not need.
type Renewal struct {
	ID       string
	Sequence uint64
	Age      time.Duration // time since the heartbeat
}

// Merge stores a record of a peer. It returns true if that changed anything that is relevant to subscribers. The record is
// not forwarded to other peers, since each process sends the heartbeats that it receives to all peers itself.
func (t *Table) Merge(now time.Duration, record Record) bool {
	return t.merge(now-record.Age, record.Endpoint)
}

// queueForPeers adds a session to the next flush: as a record if the change is visible to subscribers, else as a renewal.
func (t *Table) queueForPeers(id string, visible bool) {
	if visible {
		t.modified = append(t.modified, id)
		return
	}
	t.renewed[id] = true
}

// FlushModified returns the records that have been queued for the peers since the last call.
func (t *Table) FlushModified(now time.Duration) []Record {
	var out []Record
	seen := map[string]bool{}
	for _, id := range t.modified {
		if stored := t.rows[id]; stored != nil && !seen[id] {
			seen[id] = true
			out = append(out, stored.record(now))
			delete(t.renewed, id) // the record replaces the renewal
		}
	}
	t.modified = nil
	return out
}

// FlushRenewals returns the renewals that have been queued for the peers since the last call, sorted by ID. It omits a session
// that has expired at this replica in the meantime, since the old heartbeat must not renew it at the peers.
func (t *Table) FlushRenewals(now time.Duration) []Renewal {
	var out []Renewal
	for id := range t.renewed {
		if stored := t.rows[id]; stored != nil && stored.endpoint.State != Expired {
			out = append(out, Renewal{ID: id, Sequence: stored.endpoint.Heartbeat.Sequence, Age: now - stored.lastSeen})
		}
	}
	t.renewed = map[string]bool{}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// AllRecords returns the records of all sessions, sorted by ID.
func (t *Table) AllRecords(now time.Duration) []Record {
	out := make([]Record, 0, len(t.rows))
	for _, stored := range t.rows {
		out = append(out, stored.record(now))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint.ID < out[j].Endpoint.ID })
	return out
}

// Records returns the records of the sessions with the given IDs. It skips IDs that are not in the table.
func (t *Table) Records(now time.Duration, ids []string) []Record {
	var out []Record
	for _, id := range ids {
		if stored := t.rows[id]; stored != nil {
			out = append(out, stored.record(now))
		}
	}
	return out
}

// record returns the session as it is sent to peers.
func (r *row) record(now time.Duration) Record {
	return Record{Endpoint: r.endpoint, Age: now - r.lastSeen}
}
