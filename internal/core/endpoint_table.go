package core

import (
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// endpointTable holds the listed endpoints. One that has departed is removed at once: attempts in flight keep their
// Endpoint, which is closed to new ones. The loop owns the table.
type endpointTable struct {
	log    *zap.Logger
	origin time.Time // zero of the event clock
	byID   map[decision.EndpointID]*Endpoint
	ids    map[string]decision.EndpointID // by uid
	zones  nameIndex
	models nameIndex
}

// nameIndex numbers names: those of the settings in their order, and others after them.
type nameIndex map[string]int

// maxNames bounds the names of one kind that lists may bring.
const maxNames = 256

// lookup returns the number of a name; it is false where there are too many names.
func (n nameIndex) lookup(name string) (int, bool) {
	if i, ok := n[name]; ok {
		return i, true
	}
	if len(n) >= maxNames {
		return 0, false
	}
	n[name] = len(n)
	return n[name], true
}

// newEndpointTable makes a table whose numbers of zones and models are the settings'.
func newEndpointTable(zones, models []string, origin time.Time, log *zap.Logger) *endpointTable {
	t := &endpointTable{
		log:    log,
		origin: origin,
		byID:   map[decision.EndpointID]*Endpoint{},
		ids:    map[string]decision.EndpointID{},
		zones:  nameIndex{},
		models: nameIndex{},
	}
	for _, z := range zones {
		t.zones.lookup(z)
	}
	for _, m := range models {
		t.models.lookup(m)
	}
	return t
}

// id returns the number of a uid. Where that ends in 32 bits of hexadecimal, as discovery's do, these are the number: the
// same at all sidecars, and no two share it. Other uids are hashed, and where two would share a number the later one
// gets the next that is free.
func (t *endpointTable) id(uid string) decision.EndpointID {
	if id, ok := t.ids[uid]; ok {
		return id
	}
	n, err := strconv.ParseUint(uid[strings.LastIndexByte(uid, '-')+1:], 16, 32)
	if err != nil {
		h := fnv.New32a()
		io.WriteString(h, uid)
		n = uint64(h.Sum32())
	}
	id := decision.EndpointID(n)
	for t.byID[id] != nil {
		id++
	}
	return id
}

// add adds an endpoint to the table, in the place of one that it replaces.
func (t *endpointTable) add(e *Endpoint) {
	t.byID[e.ID], t.ids[e.uid] = e, e.ID
}

// remove takes an endpoint that has departed out of the table.
func (t *endpointTable) remove(e *Endpoint) {
	e.Close()
	delete(t.byID, e.ID)
	delete(t.ids, e.uid)
}

// update applies a list and returns it in the Balancer's terms, with the endpoints whose idle connections are of no
// more use. A line that cannot be read is skipped, and its endpoint stays as it was.
func (t *endpointTable) update(l List) (entries []decision.Entry, retired []*Endpoint) {
	listed := map[decision.EndpointID]bool{}
	for _, target := range l.Targets {
		entry, ok := t.parseTarget(target)
		if !ok {
			if known, ok := t.ids[target.UID]; ok && l.Full && !listed[known] {
				listed[known] = true
				entries = append(entries, t.byID[known].entry)
			}
			continue
		}
		entry.Endpoint = t.id(target.UID)
		listed[entry.Endpoint] = true
		if old := t.applyTarget(target, entry); old != nil {
			retired = append(retired, old)
		}
		e := t.byID[entry.Endpoint]
		if entry.State != decision.Ready {
			retired = append(retired, e)
		}
		if entry.State == decision.Departed {
			t.remove(e)
		}
		entries = append(entries, entry)
	}
	if l.Full {
		for id, e := range t.byID {
			if !listed[id] {
				t.remove(e)
				retired = append(retired, e)
			}
		}
	}
	return entries, retired
}

// parseTarget reads a line of a list, but for the endpoint's number. It logs a line that it cannot read.
func (t *endpointTable) parseTarget(target Target) (entry decision.Entry, ok bool) {
	state, stateOK := targetStates[target.State]
	zone, zoneOK := t.zones.lookup(target.Zone)
	model, modelOK := t.models.lookup(target.Model)
	_, _, err := net.SplitHostPort(target.Address)
	if !stateOK || !zoneOK || !modelOK || target.UID == "" || err != nil && state == decision.Ready {
		t.log.Warn("discovery.entry_refused", zap.String("uid", target.UID), zap.String("state", target.State),
			zap.String("address", target.Address), zap.String("zone", target.Zone), zap.String("model", target.Model))
		return entry, false
	}
	entry = decision.Entry{
		Zone:    zone,
		Kind:    model,
		Cell:    target.Cell,
		State:   state,
		Weight:  target.Weight,
		Started: t.startTime(target.BootMS),
	}
	return entry, true
}

// applyTarget updates the endpoint of a line. Where its address or its start has changed another one takes its place, and the
// one before is returned.
func (t *endpointTable) applyTarget(target Target, entry decision.Entry) (replaced *Endpoint) {
	e := t.byID[entry.Endpoint]
	isReady := entry.State == decision.Ready
	if e == nil || isReady && (e.Address != target.Address || e.bootMS != target.BootMS) {
		if replaced = e; e != nil {
			e.Close()
		}
		e = &Endpoint{ID: entry.Endpoint, uid: target.UID, Address: target.Address, bootMS: target.BootMS}
		t.add(e)
	}
	e.open.Store(isReady)
	e.entry = entry
	return replaced
}

// startTime puts a start in Unix milliseconds on the event clock; 0 stays 0. It always returns the same for the same
// start: the Balancer takes a later one for a restart.
func (t *endpointTable) startTime(bootMS int64) time.Duration {
	if bootMS == 0 {
		return 0
	}
	return max(time.UnixMilli(bootMS).Sub(t.origin.Round(0)), 0)
}
