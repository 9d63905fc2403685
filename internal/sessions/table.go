package sessions

import (
	"sort"
	"time"
)

// row is a session in the table.
type row struct {
	endpoint    Endpoint
	lastSeen    time.Duration // on the session clock, when the latest heartbeat arrived, here or at a peer
	modifyIndex uint64        // the table's, when a field that subscribers act on last changed
}

// maxSessions bounds the table's memory: heartbeats come from outside.
const maxSessions = 16384

// Table is a replica of the table of sessions. It is not safe for concurrent use.
type Table struct {
	rows        map[string]*row // by the endpoint's ID
	modifyIndex uint64
	ttl         time.Duration
	modified    []string        // IDs of the sessions that FlushModified gives next
	renewed     map[string]bool // IDs of the sessions that FlushRenewals gives next
}

// New makes an empty table. A session expires when no heartbeat has come for the time ttl.
func New(ttl time.Duration) *Table {
	return &Table{rows: map[string]*row{}, ttl: ttl, renewed: map[string]bool{}}
}

// ModifyIndex rises with every change that subscribers have to see.
func (t *Table) ModifyIndex() uint64 { return t.modifyIndex }

// ApplyHeartbeat stores a heartbeat that an endpoint sent to this process. It reports false for a heartbeat that is older
// than the stored one. The state of an older one counts all the same, because states only move forward: a notice of
// draining that was overtaken on its way must not be lost.
func (t *Table) ApplyHeartbeat(now time.Duration, id string, heartbeat Heartbeat) bool {
	stored := t.rows[id]
	if stored != nil && heartbeat.Sequence <= stored.endpoint.Heartbeat.Sequence && heartbeat.Sequence != 0 {
		if stored.endpoint.State.Before(heartbeat.State) {
			late := stored.endpoint
			late.State = heartbeat.State
			t.queueForPeers(id, t.merge(now, late))
		}
		return false
	}
	t.queueForPeers(id, t.merge(now, Endpoint{ID: id, Heartbeat: heartbeat, State: heartbeat.State}))
	return true
}

// Deregister stores that an endpoint has departed. An endpoint that is not in the table is stored as departed too, since a
// peer may have its session.
func (t *Table) Deregister(now time.Duration, id string) {
	departed := Endpoint{ID: id, State: Departed}
	if stored := t.rows[id]; stored != nil {
		departed = stored.endpoint
		departed.State = Departed
	}
	t.queueForPeers(id, t.merge(now, departed))
}

// SetOverlay stores what orders have changed at an endpoint. It ignores an overlay that is not newer than the stored one,
// and one for an endpoint that is not in the table.
func (t *Table) SetOverlay(id string, overlay Overlay) {
	stored := t.rows[id]
	if stored == nil || overlay.Version <= stored.endpoint.Overlay.Version {
		return
	}
	next := stored.endpoint
	next.Overlay = overlay
	t.queueForPeers(id, t.update(stored, next))
}

// merge combines a received version of a session with the stored one, field by field, so that the order of arrival does
// not matter. It reports whether that changed anything that subscribers have to see.
func (t *Table) merge(lastSeen time.Duration, received Endpoint) bool {
	stored := t.rows[received.ID]
	if stored == nil {
		if len(t.rows) >= maxSessions {
			return false
		}
		stored = &row{lastSeen: lastSeen}
		t.rows[received.ID] = stored
		return t.update(stored, received)
	}
	next := stored.endpoint
	if received.Heartbeat.Sequence >= next.Heartbeat.Sequence {
		next.Heartbeat = received.Heartbeat
	}
	if received.Overlay.Version > next.Overlay.Version {
		next.Overlay = received.Overlay
	}
	if stateOrder[received.State] >= stateOrder[next.State] {
		next.State = received.State
	}
	stored.lastSeen = max(stored.lastSeen, lastSeen)
	return t.update(stored, next)
}

// update stores the next version of a session and raises the modify index where subscribers have to see the change, which
// it reports.
func (t *Table) update(target *row, next Endpoint) bool {
	visible := target.endpoint.ID == "" || !equalForSubscribers(&target.endpoint, &next)
	if visible {
		t.modifyIndex++
		target.modifyIndex = t.modifyIndex
	}
	target.endpoint = next
	return visible
}

// Get returns the session of an endpoint.
func (t *Table) Get(id string) (Endpoint, bool) {
	stored := t.rows[id]
	if stored == nil {
		return Endpoint{}, false
	}
	return stored.endpoint, true
}

// Endpoints lists all sessions, by ID.
func (t *Table) Endpoints() []Endpoint { return t.ModifiedSince(0) }

// ModifiedSince lists the sessions whose modify index is above index, by ID.
func (t *Table) ModifiedSince(index uint64) []Endpoint {
	var out []Endpoint
	for _, stored := range t.rows {
		if stored.modifyIndex > index {
			out = append(out, stored.endpoint)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
