package sessions

import (
	"sort"
	"time"
)

// Record is a session as replicas send it to one another. Replicas have no common clock, so a record carries the age of
// the latest heartbeat and not its time.
type Record struct {
	Endpoint Endpoint
	Age      time.Duration // since the latest heartbeat
}

// Renewal says that a heartbeat has come which changed nothing but its sequence number. It stands for a complete record,
// which most heartbeats do not need.
type Renewal struct {
	ID       string
	Sequence uint64
	Age      time.Duration // since the heartbeat
}

// Merge stores a record of a peer. It reports whether that changed anything that subscribers have to see. The record is
// not passed on to other peers: each process sends its own heartbeats to all of them itself.
func (t *Table) Merge(now time.Duration, record Record) bool {
	return t.merge(now-record.Age, record.Endpoint)
}

// markForPeers has the next flush send a session to the peers: as a record where subscribers see a change, else as a
// renewal.
func (t *Table) queueForPeers(id string, visible bool) {
	if visible {
		t.modified = append(t.modified, id)
		return
	}
	t.renewed[id] = true
}

// FlushModified returns the records that peers have to receive in full since the last call.
func (t *Table) FlushModified(now time.Duration) []Record {
	var out []Record
	seen := map[string]bool{}
	for _, id := range t.modified {
		if stored := t.rows[id]; stored != nil && !seen[id] {
			seen[id] = true
			out = append(out, stored.record(now))
			delete(t.renewed, id) // the record renews it too
		}
	}
	t.modified = nil
	return out
}

// FlushRenewals returns the renewals that peers have to receive since the last call, by ID. A session that has expired here
// in the meantime is left out: it would be renewed at the peers by an old heartbeat.
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

// AllRecords returns the records of all sessions, by ID.
func (t *Table) AllRecords(now time.Duration) []Record {
	out := make([]Record, 0, len(t.rows))
	for _, stored := range t.rows {
		out = append(out, stored.record(now))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint.ID < out[j].Endpoint.ID })
	return out
}

// Records returns the records of the sessions with these IDs that are in the table.
func (t *Table) Records(now time.Duration, ids []string) []Record {
	var out []Record
	for _, id := range ids {
		if stored := t.rows[id]; stored != nil {
			out = append(out, stored.record(now))
		}
	}
	return out
}

func (r *row) record(now time.Duration) Record {
	return Record{Endpoint: r.endpoint, Age: now - r.lastSeen}
}
