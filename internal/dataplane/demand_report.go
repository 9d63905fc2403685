package dataplane

import (
	"time"

	"github.com/samber/lo"

	"dykering/internal/protocol"
)

// Demand reports inform the control processes of the demand for models and of this proxy's calls in flight. The control
// processes plan the placement of models by the demand, and send the sums of all proxies' calls back to the proxies.
const (
	// reportInterval is the time between two reports. It adds to the age of the sums over all proxies.
	reportInterval = 250 * time.Millisecond
	// urgentReportDelay is how long an urgent report of a request without an endpoint waits, so that it covers further such
	// requests.
	urgentReportDelay = 5 * time.Millisecond
	// maxDemandEntries bounds the entries of one report, each for a model or adapter of a service.
	maxDemandEntries = 4096
	// reportQueueSize bounds the reports that wait to be sent on a stream. Further reports are dropped.
	reportQueueSize = 4
)

// demandKey identifies a model, or an adapter of a model, at a service.
type demandKey struct{ service, model, adapter string }

// demandCounters counts the requests for models. Only the table loop uses its maps; its channels are safe for concurrent use.
type demandCounters struct {
	counts   map[demandKey]*protocol.Demand // since the last report
	inFlight map[demandKey]int              // requests in flight now
	waiting  map[demandKey]int              // requests in flight whose response has not started

	urgent  chan struct{} // receives a value when a request has found no endpoint, to trigger a report
	reports chan protocol.DemandReport
}

func newDemandCounters() *demandCounters {
	return &demandCounters{
		counts: map[demandKey]*protocol.Demand{}, inFlight: map[demandKey]int{}, waiting: map[demandKey]int{},
		urgent: make(chan struct{}, 1), reports: make(chan protocol.DemandReport, reportQueueSize),
	}
}

// demandOf returns the counts of a key. Beyond maxDemandEntries keys, it returns counts that are never reported.
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

// requestArrived counts a request, with its size in tokens.
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

// responseStarted counts a request as no longer waiting.
func (d *demandCounters) responseStarted(key demandKey) { decrement(d.waiting, key) }

// requestEnded counts a request as no longer in flight.
func (d *demandCounters) requestEnded(key demandKey) { decrement(d.inFlight, key) }

func decrement(counts map[demandKey]int, key demandKey) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// requestUnplaced counts a request that found no endpoint with its model or adapter, and triggers a report.
func (d *demandCounters) requestUnplaced(key demandKey) {
	d.demandOf(key).Unplaced++
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

// takeDemands returns the demand since its last call and resets the counts. Requests in flight remain counted.
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

// reportDemand queues a report every reportInterval, and after urgentReportDelay if a request has found no endpoint, until the
// process ends. It skips an empty report unless the previous one had calls: that one empty report tells the control processes
// that the calls have ended.
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
		default: // the queue is full because no stream is open
		}
	}
}

// demandReport returns a report of the demand since the last one and of this proxy's calls. Only the table loop calls it.
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
