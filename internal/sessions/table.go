// Package sessions is the table of endpoint sessions: what endpoints say of themselves in heartbeats, and what orders
// have made of them since. Control sidecars replicate it among themselves. It does no input or output and reads no clock.
package sessions

import (
	"sort"
	"time"
)

// State is how far an endpoint is in its life.
type State string

// The states. They only move down this list, but for an endpoint that was silent and is heard again.
const (
	Ready    State = "ready"
	Expired  State = "silent" // no heartbeat for a while
	Draining State = "draining"
	Departed State = "gone" // deregistered
)

// LoadedModel is a model that an endpoint holds.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

// Heartbeat is what an endpoint says of itself.
type Heartbeat struct {
	Service         string        `json:"service"`
	Address         string        `json:"address"`
	Zone            string        `json:"zone"`
	Version         string        `json:"version"`
	Slots           int           `json:"slots"`
	State           State         `json:"state"`
	ColdRemainingMs float64       `json:"cold_remaining_ms"`
	RemainingMs     *float64      `json:"remaining_ms"`
	Stage           string        `json:"stage"`
	Models          []LoadedModel `json:"models"`
	Sequence        uint64        `json:"sequence"`
}

// Holding is what orders have made of one model or adapter at an endpoint, ahead of its heartbeats.
type ModelOverride struct {
	Model   string
	Adapter string // empty for the model itself
	Present bool
}

// Overlay is what orders have made of an endpoint. A higher version takes the place of a lower one.
type Overlay struct {
	Version  uint64
	Holdings []ModelOverride
}

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	ID        string
	Heartbeat Heartbeat
	State     State
	Overlay   Overlay
}

// Holds tells whether an endpoint holds a model, and, where one is named, its adapter.
func (e *Endpoint) HasLoaded(model, adapter string) bool {
	if adapter != "" && !e.hasLoaded(model, "") {
		return false
	}
	return e.hasLoaded(model, adapter)
}

func (e *Endpoint) hasLoaded(model, adapter string) bool {
	for _, holding := range e.Overlay.Holdings {
		if holding.Model == model && holding.Adapter == adapter {
			return holding.Present
		}
	}
	for _, loaded := range e.Heartbeat.Models {
		if loaded.Name != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, name := range loaded.Adapters {
			if name == adapter {
				return true
			}
		}
	}
	return false
}

// Record is an endpoint as control sidecars tell one another of it.
type Record struct {
	Endpoint Endpoint
	Age      time.Duration // since it was last heard of
}

// entry is a row of the table.
type row struct {
	endpoint    Endpoint
	lastSeen    time.Duration
	modifyIndex uint64 // of the table, when what subscribers see last changed
}

const (
	maxSessions = 16384
	// keepGone is how long an endpoint that has gone is remembered, so that late heartbeats do not bring it back.
	retention = 60 * time.Second
)

// Table is the table of sessions.
type Table struct {
	rows        map[string]*row
	modifyIndex uint64
	ttl         time.Duration
	modified    []string // what other control sidecars have not been told in full
	renewed     map[string]bool
}

// NewTable makes a table in which an endpoint without a heartbeat for a time counts as silent.
func New(ttl time.Duration) *Table {
	return &Table{rows: map[string]*row{}, ttl: ttl, renewed: map[string]bool{}}
}

// Revision rises with every change that subscribers see.
func (t *Table) ModifyIndex() uint64 { return t.modifyIndex }

// Heard takes a heartbeat. It is false for one that is older than what is known; its state counts all the same, as states
// only go down.
func (t *Table) ApplyHeartbeat(now time.Duration, id string, heartbeat Heartbeat) bool {
	known := t.rows[id]
	if known != nil && heartbeat.Sequence <= known.endpoint.Heartbeat.Sequence && heartbeat.Sequence != 0 {
		if Before(known.endpoint.State, heartbeat.State) {
			late := known.endpoint
			late.State = heartbeat.State
			t.markForPeers(id, t.merge(now, late))
		}
		return false
	}
	t.markForPeers(id, t.merge(now, Endpoint{ID: id, Heartbeat: heartbeat, State: heartbeat.State}))
	return true
}

// Deregister notes that an endpoint has gone, also one that is not known: others may know it.
func (t *Table) Deregister(now time.Duration, id string) {
	gone := Endpoint{ID: id, State: Departed}
	if known := t.rows[id]; known != nil {
		gone = known.endpoint
		gone.State = Departed
	}
	t.markForPeers(id, t.merge(now, gone))
}

// SetOverlay notes what orders have made of an endpoint.
func (t *Table) SetOverlay(now time.Duration, id string, overlay Overlay) {
	known := t.rows[id]
	if known == nil || overlay.Version <= known.endpoint.Overlay.Version {
		return
	}
	next := known.endpoint
	next.Overlay = overlay
	t.markForPeers(id, t.update(known, next))
}

// Merge takes what another control sidecar says: it tells all others itself. It reports whether anything was news.
func (t *Table) Merge(now time.Duration, record Record) bool {
	return t.merge(now-record.Age, record.Endpoint)
}

// Alive notes that an endpoint was heard of elsewhere. It is false for one that is not known.
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
		next := known.endpoint
		next.State = Ready
		t.update(known, next)
	}
	return true
}

// Before tells whether an endpoint in one state is not as far in its life as in another. The empty state is before all.
func Before(a, b State) bool { return a == "" && b != "" || stateOrder[a] < stateOrder[b] }

var stateOrder = map[State]int{Ready: 0, Expired: 0, Draining: 1, Departed: 2}

// merge takes what is said of an endpoint. It reports whether that is news to subscribers.
func (t *Table) merge(lastSeen time.Duration, received Endpoint) bool {
	known := t.rows[received.ID]
	if known == nil {
		if len(t.rows) >= maxSessions {
			return false
		}
		known = &row{lastSeen: lastSeen}
		t.rows[received.ID] = known
		return t.update(known, received)
	}
	next := known.endpoint
	if received.Heartbeat.Sequence >= next.Heartbeat.Sequence {
		next.Heartbeat = received.Heartbeat
	}
	if received.Overlay.Version > next.Overlay.Version {
		next.Overlay = received.Overlay
	}
	if stateOrder[received.State] >= stateOrder[next.State] {
		next.State = received.State
	}
	known.lastSeen = max(known.lastSeen, lastSeen)
	return t.update(known, next)
}

// update puts a new endpoint into a row. It reports whether that is news to subscribers.
func (t *Table) update(target *row, next Endpoint) bool {
	news := target.endpoint.ID == "" || !equalForSubscribers(&target.endpoint, &next)
	if news {
		t.modifyIndex++
		target.modifyIndex = t.modifyIndex
	}
	target.endpoint = next
	return news
}

// tell notes that other control sidecars are to hear of an endpoint: in full where there is news, else as a sign of life.
func (t *Table) markForPeers(id string, news bool) {
	if news {
		t.modified = append(t.modified, id)
		return
	}
	t.renewed[id] = true
}

// sameToSubscribers compares what matters to those who send requests.
func equalForSubscribers(a, b *Endpoint) bool {
	x, y := &a.Heartbeat, &b.Heartbeat
	return a.State == b.State && a.Overlay.Version == b.Overlay.Version && x.Service == y.Service && x.Address == y.Address &&
		x.Zone == y.Zone && x.Version == y.Version && x.Slots == y.Slots && (x.RemainingMs == nil) == (y.RemainingMs == nil) &&
		equalModels(x.Models, y.Models)
}

func equalModels(a, b []LoadedModel) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || a[i].Version != b[i].Version || len(a[i].Adapters) != len(b[i].Adapters) {
			return false
		}
		for j := range a[i].Adapters {
			if a[i].Adapters[j] != b[i].Adapters[j] {
				return false
			}
		}
	}
	return true
}

// Expire notes which endpoints have fallen silent, and forgets those that have long gone.
func (t *Table) ExpireTTLs(now time.Duration) {
	for id, row := range t.rows {
		quiet := now - row.lastSeen
		switch {
		case quiet > retention:
			delete(t.rows, id)
		case quiet > t.ttl && row.endpoint.State == Ready:
			next := row.endpoint
			next.State = Expired
			t.update(row, next)
		case quiet > 2*t.ttl && row.endpoint.State == Draining:
			next := row.endpoint
			next.State = Departed
			t.update(row, next)
		}
	}
}

// Since lists the endpoints that have changed after a revision.
func (t *Table) ModifiedSince(revision uint64) []Endpoint {
	var out []Endpoint
	for _, row := range t.rows {
		if row.modifyIndex > revision {
			out = append(out, row.endpoint)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Get finds an endpoint.
func (t *Table) Get(id string) (Endpoint, bool) {
	row := t.rows[id]
	if row == nil {
		return Endpoint{}, false
	}
	return row.endpoint, true
}

// All lists every record, as other control sidecars are told of them.
func (t *Table) AllRecords(now time.Duration) []Record {
	out := make([]Record, 0, len(t.rows))
	for _, row := range t.rows {
		out = append(out, Record{Endpoint: row.endpoint, Age: now - row.lastSeen})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint.ID < out[j].Endpoint.ID })
	return out
}

// Of lists the records of some ids.
func (t *Table) Records(now time.Duration, ids []string) []Record {
	var out []Record
	for _, id := range ids {
		if row := t.rows[id]; row != nil {
			out = append(out, Record{Endpoint: row.endpoint, Age: now - row.lastSeen})
		}
	}
	return out
}

// TakeChanged gives the records that others must be told of in full, and forgets that they must.
func (t *Table) FlushModified(now time.Duration) []Record {
	var out []Record
	seen := map[string]bool{}
	for _, id := range t.modified {
		if row := t.rows[id]; row != nil && !seen[id] {
			seen[id] = true
			out = append(out, Record{Endpoint: row.endpoint, Age: now - row.lastSeen})
			delete(t.renewed, id)
		}
	}
	t.modified = nil
	return out
}

// Sign is a sign of life of an endpoint.
type Renewal struct {
	ID       string
	Sequence uint64
	Age      time.Duration
}

// TakeAlive gives the signs of life that others were not told of.
func (t *Table) FlushRenewals(now time.Duration) []Renewal {
	var out []Renewal
	for id := range t.renewed {
		if row := t.rows[id]; row != nil && row.endpoint.State != Expired {
			out = append(out, Renewal{ID: id, Sequence: row.endpoint.Heartbeat.Sequence, Age: now - row.lastSeen})
		}
	}
	t.renewed = map[string]bool{}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
