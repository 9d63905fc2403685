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

// endpointTable holds the listed endpoints. A departed endpoint is removed at once, and closed to new attempts. Attempts in
// flight keep their reference to it. The loop owns the table.
type endpointTable struct {
	log    *zap.Logger
	origin time.Time // zero time of the event clock
	byID   map[decision.EndpointID]*Endpoint
	ids    map[string]decision.EndpointID // by uid
	zones  nameIndex
	models nameIndex
}

// nameIndex assigns numbers to names: first to those in the settings, in their order, then to others as lists mention them.
type nameIndex map[string]int

// maxNames bounds the entries of a nameIndex, so that endpoint lists cannot grow it without limit.
const maxNames = 256

// lookup returns the number of a name, and assigns one to a new name. It returns false if a new name exceeds maxNames.
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

// newEndpointTable creates an empty table that numbers zones and models in the order of the settings.
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

// id returns the ID for a uid. A uid normally ends in a hexadecimal number of 32 bits, which becomes the ID: it is unique
// and the same at all sidecars. Any other uid is hashed. If the ID is taken by another uid, the next free one is returned.
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

// add adds an endpoint to the table. It replaces an endpoint with the same ID.
func (t *endpointTable) add(e *Endpoint) {
	t.byID[e.ID], t.ids[e.uid] = e, e.ID
}

// remove closes a departed endpoint and removes it from the table.
func (t *endpointTable) remove(e *Endpoint) {
	e.Close()
	delete(t.byID, e.ID)
	delete(t.ids, e.uid)
}

// update applies a list. It returns the list as entries for the Balancer, and the endpoints whose idle connections should
// be closed. An invalid target is skipped, and its endpoint stays unchanged.
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

// parseTarget converts a target to an entry without the endpoint ID. It logs an invalid target and returns false.
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

// applyTarget updates the endpoint of a target. If the address or the start time has changed, it adds a new endpoint in
// place of the old one, and returns the old one.
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

// startTime converts a start time in Unix milliseconds to the event clock; 0 stays 0. The result for a given start time
// never changes, because the Balancer interprets a later start time as a restart.
func (t *endpointTable) startTime(bootMS int64) time.Duration {
	if bootMS == 0 {
		return 0
	}
	return max(time.UnixMilli(bootMS).Sub(t.origin.Round(0)), 0)
}
