package sessions

import (
	"sort"
	"time"
)

// row is a session in the table.
type row struct {
	endpoint    Endpoint
	lastSeen    time.Duration // time on the session clock at which the latest heartbeat arrived, at this process or a peer
	modifyIndex uint64        // index of the last change that is relevant to subscribers
}

// maxSessions bounds the memory of the table, since heartbeats with arbitrary IDs can arrive from other programs.
const maxSessions = 16384

// Table is a replica of the table of sessions. It is not safe for concurrent use.
type Table struct {
	rows        map[string]*row // by endpoint ID
	modifyIndex uint64
	ttl         time.Duration
	modified    []string        // IDs of the sessions that the next FlushModified returns
	renewed     map[string]bool // IDs of the sessions that the next FlushRenewals returns
}

// New returns an empty table. A session expires when no heartbeat has arrived for the time ttl.
func New(ttl time.Duration) *Table {
	return &Table{rows: map[string]*row{}, ttl: ttl, renewed: map[string]bool{}}
}

// ModifyIndex returns the modify index of the table, which rises with every change that is relevant to subscribers.
func (t *Table) ModifyIndex() uint64 { return t.modifyIndex }

// ApplyHeartbeat stores a heartbeat that an endpoint has sent to this process. It returns false for a heartbeat that is not
// newer than the stored one. The state in such a heartbeat is applied nevertheless if it is further in the life cycle: states
// only move forward, and the notice that an endpoint drains must not be lost if a later heartbeat overtakes it.
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

// Deregister sets the state of an endpoint to Departed. It also stores an endpoint that is not in the table as departed, since
// a peer may have a session of it.
func (t *Table) Deregister(now time.Duration, id string) {
	departed := Endpoint{ID: id, State: Departed}
	if stored := t.rows[id]; stored != nil {
		departed = stored.endpoint
		departed.State = Departed
	}
	t.queueForPeers(id, t.merge(now, departed))
}

// SetOverlay sets the overlay of an endpoint. It ignores an overlay that is not newer than the stored one, and an overlay for
// an endpoint that is not in the table.
func (t *Table) SetOverlay(id string, overlay Overlay) {
	stored := t.rows[id]
	if stored == nil || overlay.Version <= stored.endpoint.Overlay.Version {
		return
	}
	next := stored.endpoint
	next.Overlay = overlay
	t.queueForPeers(id, t.update(stored, next))
}

// merge combines a received version of a session with the stored one, field by field, so that the result is independent of the
// order of arrival. It returns true if the change is relevant to subscribers.
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

// update stores the next version of a session. If the change is relevant to subscribers, it raises the modify index and returns
// true.
func (t *Table) update(target *row, next Endpoint) bool {
	visible := target.endpoint.ID == "" || !equalForSubscribers(&target.endpoint, &next)
	if visible {
		t.modifyIndex++
		target.modifyIndex = t.modifyIndex
	}
	target.endpoint = next
	return visible
}

// Get returns the session of an endpoint, and false if there is none.
func (t *Table) Get(id string) (Endpoint, bool) {
	stored := t.rows[id]
	if stored == nil {
		return Endpoint{}, false
	}
	return stored.endpoint, true
}

// Endpoints returns all sessions, sorted by ID.
func (t *Table) Endpoints() []Endpoint { return t.ModifiedSince(0) }

// ModifiedSince returns the sessions whose modify index is above the given one, sorted by ID.
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
