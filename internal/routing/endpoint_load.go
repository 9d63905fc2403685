package routing

import "time"

// How an endpoint's load is estimated from sources of different age.
const (
	// fleetLoadTTL is how long the control processes' sums of all proxies' calls count. They come every 250 ms at best and are
	// 0.3 to 1.1 s old in service; worth of the sums: docs/DECISIONS.md, "Ablation". Half or double: not measured.
	fleetLoadTTL = 3 * time.Second
	// reportedLoadTTL is how long an endpoint's own report counts, for less and less. It is the fallback where no sums come.
	// Half or double: not measured.
	reportedLoadTTL = 2 * time.Second
	// streamingCallWeight is what a call counts for whose response has started, against one that waits: a stream slows an
	// endpoint's steps by far less than a prompt. Half or double: not measured.
	streamingCallWeight = 0.2
)

// ReportedLoad is what an endpoint reports of itself in a response: requests that it runs and that wait, and its slots.
type ReportedLoad struct {
	Running, Waiting, Slots int
}

// FleetLoad is the calls of all proxies to an endpoint, and the outcomes of those that have ended.
type FleetLoad struct {
	InFlight int // calls whose outcome is not known yet
	Waiting  int // of them, those whose response has not started
	Outcomes Outcomes
}

// estimatedLoad is an endpoint's own calls in flight with the estimated load of the others: by the control processes' sums
// or, where those are too old, by its own last report.
func (e *Endpoint) estimatedLoad(now time.Duration) float64 {
	load := float64(e.callsInFlight)
	switch {
	case e.othersLoadAt > 0 && now-e.othersLoadAt < fleetLoadTTL:
		load += e.othersLoad
	case e.reportedAt > 0 && now-e.reportedAt < reportedLoadTTL:
		others := max(float64(e.reported.Running+e.reported.Waiting-e.ownCallsWhenReported), 0)
		load += others * (1 - float64(now-e.reportedAt)/float64(reportedLoadTTL))
	}
	return load
}

// SetFleetLoads takes the sums of all proxies' calls, by endpoint id. An endpoint that is not named has none.
func (p *Pool) SetFleetLoads(now time.Duration, loads map[string]FleetLoad) {
	for id, e := range p.byID {
		total := loads[id]
		waiting := max(total.Waiting-e.callsWaiting, 0)
		ownStreaming := e.callsInFlight - e.callsWaiting
		streaming := max(total.InFlight-total.Waiting-ownStreaming, 0)
		e.othersLoad, e.othersLoadAt = float64(waiting)+streamingCallWeight*float64(streaming), now
		e.outcomes.replace(now, total.Outcomes)
	}
}

// ReportLoad takes an endpoint's own report of its load.
func (p *Pool) ReportLoad(now time.Duration, e *Endpoint, load ReportedLoad) {
	e.reported, e.reportedAt, e.ownCallsWhenReported = load, now, e.callsInFlight
}

// OwnCalls has the proxy's own calls in flight, by endpoint id.
func (p *Pool) OwnCalls() map[string]FleetLoad {
	calls := map[string]FleetLoad{}
	for id, e := range p.byID {
		if e.callsInFlight > 0 {
			calls[id] = FleetLoad{InFlight: e.callsInFlight, Waiting: e.callsWaiting}
		}
	}
	return calls
}
