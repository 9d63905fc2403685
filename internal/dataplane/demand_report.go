package dataplane

import (
	"time"

	"github.com/samber/lo"

	"dykering/internal/protocol"
)

// Demand reports: what is asked for here, and the own calls at endpoints, from which the control processes plan the placement
// and sum all proxies' calls.
const (
	// reportInterval is the time between two reports, which adds to the age of the sums. Half or double: not measured.
	reportInterval = 250 * time.Millisecond
	// urgentReportDelay is how long a report of requests that found no endpoint waits for others of its kind.
	urgentReportDelay = 5 * time.Millisecond
	// maxDemandEntries bounds the models and adapters that one report tells apart.
	maxDemandEntries = 4096
	// reportQueueSize bounds the reports that wait for a stream; further ones are dropped.
	reportQueueSize = 4
)

type demandKey struct{ service, model, adapter string }

// demandCounters counts what is asked for between two reports. It belongs to the tables' owner, but for its channels.
type demandCounters struct {
	counts   map[demandKey]*protocol.Demand
	inFlight map[demandKey]int // requests in flight
	waiting  map[demandKey]int // of them, those whose response has not started

	urgent  chan struct{} // has a value once a request has found no endpoint
	reports chan protocol.DemandReport
}

func newDemandTable() *demandCounters {
	return &demandCounters{
		counts: map[demandKey]*protocol.Demand{}, inFlight: map[demandKey]int{}, waiting: map[demandKey]int{},
		urgent: make(chan struct{}, 1), reports: make(chan protocol.DemandReport, reportQueueSize),
	}
}

// demandOf returns the counts of a key; those of a key beyond the bound go nowhere.
func (d *demandCounters) demandOf(key demandKey) *protocol.Demand {
	e := d.counts[key]
	if e == nil {
		if len(d.counts) >= maxDemandEntries {
			return &protocol.Demand{}
		}
		e = &protocol.Demand{Service: key.service, Model: key.model, Adapter: key.adapter}
		d.counts[key] = e
	}
	return e
}

// requestArrived counts a request and its work, in tokens.
func (d *demandCounters) requestArrived(key demandKey, tokens float64) {
	if key.model == "" {
		return
	}
	e := d.demandOf(key)
	e.Requests++
	e.Tokens += tokens
	d.inFlight[key]++
	d.waiting[key]++
}

// responseStarted notes that a request no longer waits.
func (d *demandCounters) responseStarted(key demandKey) { decrement(d.waiting, key) }

// requestEnded notes that a request is no longer in flight.
func (d *demandCounters) requestEnded(key demandKey) { decrement(d.inFlight, key) }

func decrement(counts map[demandKey]int, key demandKey) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// requestUnplaced counts a request that found no endpoint with its model or adapter, which is reported at once.
func (d *demandCounters) requestUnplaced(key demandKey) {
	d.demandOf(key).Unplaced++
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

// takeDemands returns what was counted since it was last called.
func (d *demandCounters) takeDemands() []protocol.Demand {
	for key, n := range d.inFlight {
		e := d.demandOf(key)
		e.InFlight, e.Waiting = n, d.waiting[key]
	}
	var flushed []protocol.Demand
	for _, e := range d.counts {
		flushed = append(flushed, *e)
	}
	d.counts = map[demandKey]*protocol.Demand{}
	return flushed
}

// reportDemand makes a report each reportInterval, and at once where a request has found no endpoint, until the process ends.
// An empty report is sent once, after one with calls.
func (s *Server) reportDemand() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	lastHadCalls := false
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.demand.urgent:
			time.Sleep(urgentReportDelay)
		case <-ticker.C:
		}
		report := queryTables(s, s.demandReport)
		hasCalls := len(report.Loads) > 0
		if len(report.Demands) == 0 && !hasCalls && !lastHadCalls {
			continue
		}
		lastHadCalls = hasCalls
		select {
		case s.demand.reports <- report:
		default: // no stream takes reports now
		}
	}
}

// demandReport is what was counted since the last report, and the own calls.
func (s *Server) demandReport() protocol.DemandReport {
	report := protocol.DemandReport{From: s.settings.NodeName, Demands: s.demand.takeDemands()}
	calls, outcomes := s.pool.OwnCalls(), s.pool.FlushOutcomes()
	for _, id := range lo.Union(lo.Keys(calls), lo.Keys(outcomes)) {
		report.Loads = append(report.Loads, protocol.EndpointLoad{
			ID: id, InFlight: calls[id].InFlight, Waiting: calls[id].Waiting,
			Good: outcomes[id].Good, Failed: outcomes[id].Failed,
		})
	}
	return report
}
