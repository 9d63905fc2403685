package dataplane

import (
	"time"

	"github.com/samber/lo"

	"dykering/internal/protocol"
)

const (
	reportEvery = 250 * time.Millisecond
	// urgentAfter is how long a report of requests that found no endpoint may wait for others of its kind.
	urgentAfter = 5 * time.Millisecond
	mostDemands = 4096
)

type demandKey struct{ service, model, adapter string }

// demandTable counts what is asked for, between two reports. The owner of the tables owns it.
type demandTable struct {
	counts  map[demandKey]*protocol.Demand
	flights map[demandKey]int // requests under way
	waiting map[demandKey]int // of them, those whose answer has not begun
	urgent  chan struct{}
	reports chan protocol.DemandReport
}

func newDemandTable() *demandTable {
	return &demandTable{counts: map[demandKey]*protocol.Demand{}, flights: map[demandKey]int{}, waiting: map[demandKey]int{}, urgent: make(chan struct{}, 1), reports: make(chan protocol.DemandReport, 4)}
}

// subscribe gives the reports.
func (d *demandTable) subscribe() <-chan protocol.DemandReport { return d.reports }

func (d *demandTable) count(key demandKey) *protocol.Demand {
	c := d.counts[key]
	if c == nil {
		if len(d.counts) >= mostDemands {
			return &protocol.Demand{}
		}
		c = &protocol.Demand{Service: key.service, Model: key.model, Adapter: key.adapter}
		d.counts[key] = c
	}
	return c
}

// request counts a request and its work.
func (d *demandTable) request(key demandKey, tokens float64) {
	if key.model == "" {
		return
	}
	c := d.count(key)
	c.Requests++
	c.Tokens += tokens
	d.flights[key]++
	d.waiting[key]++
}

// begun counts the beginning of an answer.
func (d *demandTable) begun(key demandKey) { less(d.waiting, key) }

// ended counts the end of a request.
func (d *demandTable) ended(key demandKey) { less(d.flights, key) }

func less(counts map[demandKey]int, key demandKey) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// unplaced counts a request that found no endpoint with its model or adapter.
func (d *demandTable) unplaced(key demandKey) {
	d.count(key).Unplaced++
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

// take gives what was counted.
func (d *demandTable) take() []protocol.Demand {
	for key, n := range d.flights {
		c := d.count(key)
		c.InFlight, c.Waiting = n, d.waiting[key]
	}
	var out []protocol.Demand
	for _, c := range d.counts {
		out = append(out, *c)
	}
	d.counts = map[demandKey]*protocol.Demand{}
	return out
}

// reportDemand sends reports, soon where a request has found no endpoint.
func (p *Process) reportDemand() {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	told := false // the last report told of calls
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.demand.urgent:
			time.Sleep(urgentAfter)
		case <-ticker.C:
		}
		report := ask(p, p.report)
		busy := len(report.Loads) > 0
		if len(report.Demands) == 0 && !busy && !told {
			continue
		}
		told = busy
		select {
		case p.demand.reports <- report:
		default: // no stream takes them now
		}
	}
}

// report is what was counted since the last one, and the own calls.
func (p *Process) report() protocol.DemandReport {
	report := protocol.DemandReport{From: p.settings.NodeName, Demands: p.demand.take()}
	calls, outcomes := p.pool.OwnCalls(), p.pool.FlushOutcomes()
	for _, id := range lo.Union(lo.Keys(calls), lo.Keys(outcomes)) {
		report.Loads = append(report.Loads, protocol.EndpointLoad{ID: id, InFlight: calls[id].InFlight, Waiting: calls[id].Waiting,
			Good: outcomes[id].Good, Failed: outcomes[id].Failed})
	}
	return report
}
