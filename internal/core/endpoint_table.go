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

// endpoints is the table of the endpoints that are listed. One that has gone is forgotten at once: what is
// still out to it holds on to its endpoint, that is open to nothing new. The loop owns the table.
type endpointTable struct {
	log    *zap.Logger
	origin time.Time // zero of the event clock
	byID   map[decision.EndpointID]*Endpoint
	ids    map[string]decision.EndpointID
	zones  nameIndex
	models nameIndex
}

// names numbers names as the settings do, and those that they lack after them.
type nameIndex map[string]int

// mostNames bounds the names of one sort that lists may bring.
const maxNames = 256

// index is false when there are too many names.
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

func newEndpointTable(zones, models []string, origin time.Time, log *zap.Logger) *endpointTable {
	t := &endpointTable{log: log, origin: origin, byID: map[decision.EndpointID]*Endpoint{},
		ids: map[string]decision.EndpointID{}, zones: nameIndex{}, models: nameIndex{}}
	for _, z := range zones {
		t.zones.lookup(z)
	}
	for _, m := range models {
		t.models.lookup(m)
	}
	return t
}

// id numbers a uid. Where it ends in 32 bits of hexadecimal, as discovery's do, these are its number: the
// same at every sidecar, and no two share it. Others are hashed, and where two would share a number, the
// later one moves on.
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

// put puts an endpoint into the table, in the place of one that it replaces.
func (t *endpointTable) add(e *Endpoint) {
	t.byID[e.ID], t.ids[e.uid] = e, e.ID
}

// forget takes an endpoint that has gone out of the table.
func (t *endpointTable) remove(e *Endpoint) {
	e.Close()
	delete(t.byID, e.ID)
	delete(t.ids, e.uid)
}

// update takes a list in and returns it in the Balancer's terms, with the endpoints whose idle connections
// are of no more use.
func (t *endpointTable) update(l List) (entries []decision.Entry, retired []*Endpoint) {
	listed := map[decision.EndpointID]bool{}
	for _, x := range l.Targets {
		state, ok := states[x.State]
		zone, zoneOK := t.zones.lookup(x.Zone)
		model, modelOK := t.models.lookup(x.Model)
		_, _, err := net.SplitHostPort(x.Address)
		if !ok || !zoneOK || !modelOK || x.UID == "" || err != nil && state == decision.Ready {
			t.log.Warn("discovery.entry_refused", zap.String("uid", x.UID), zap.String("state", x.State),
				zap.String("address", x.Address), zap.String("zone", x.Zone), zap.String("model", x.Model))
			if known, ok := t.ids[x.UID]; ok && l.Full && !listed[known] {
				listed[known] = true // it has not gone: it stays as it was
				entries = append(entries, t.byID[known].entry)
			}
			continue
		}
		id := t.id(x.UID)
		listed[id] = true
		e := t.byID[id]
		if e == nil || state == decision.Ready && (e.Address != x.Address || e.bootMS != x.BootMS) {
			if e != nil {
				e.Close()
				retired = append(retired, e)
			}
			e = &Endpoint{ID: id, uid: x.UID, Address: x.Address, bootMS: x.BootMS}
			t.add(e)
		}
		e.open.Store(state == decision.Ready)
		if state != decision.Ready {
			retired = append(retired, e)
		}
		if state == decision.Departed {
			t.remove(e)
		}
		e.entry = decision.Entry{Endpoint: id, Zone: zone, Kind: model, Cell: x.Cell, State: state, Weight: x.Weight,
			Started: t.startTime(x.BootMS)}
		entries = append(entries, e.entry)
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

// started puts a start in Unix time on the event clock. It always gives the same for the same start: the
// Balancer takes a later one for a restart.
func (t *endpointTable) startTime(bootMS int64) time.Duration {
	if bootMS == 0 {
		return 0
	}
	return max(time.UnixMilli(bootMS).Sub(t.origin.Round(0)), 0)
}
