package routing

import "time"

// Constants of the load estimate, which combines sources of different age.
const (
	// fleetLoadTTL is how long the load estimate uses a FleetLoad, the sum of all proxies' calls that a control process sends.
	// New sums arrive every 250 ms at best, and are 0.3 to 1.1 s old in operation.
	fleetLoadTTL = 3 * time.Second
	// reportedLoadTTL is how long the load estimate uses an endpoint's own report, with linearly falling weight. The report is
	// the fallback while no recent FleetLoad is known.
	reportedLoadTTL = 2 * time.Second
	// streamingCallWeight is the load of a call whose response has started, relative to a call that waits for its response.
	// Streaming a response slows down an endpoint far less than processing a prompt.
	streamingCallWeight = 0.2
)

// ReportedLoad is the load that an endpoint reports in its responses: the numbers of running and of waiting requests, and the
// number of requests that it can run at the same time (Slots).
type ReportedLoad struct {
	Running, Waiting, Slots int
}

// FleetLoad sums the calls of all proxies to one endpoint.
type FleetLoad struct {
	InFlight int      // calls that have not ended
	Waiting  int      // calls in flight whose response has not started
	Outcomes Outcomes // outcomes of the calls that have ended
}

// estimatedLoad returns the number of this proxy's calls in flight to the endpoint plus an estimate of the other proxies'
// load. The estimate comes from the last FleetLoad or, if that is too old, from the endpoint's own last report.
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

// SetFleetLoads stores the sums of all proxies' calls, by endpoint ID, and subtracts this proxy's own calls from them. An
// endpoint without an entry has no calls.
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

// ReportLoad stores the load that an endpoint has reported in a response.
func (p *Pool) ReportLoad(now time.Duration, e *Endpoint, load ReportedLoad) {
	e.reported, e.reportedAt, e.ownCallsWhenReported = load, now, e.callsInFlight
}

// OwnCalls returns this proxy's calls in flight, by endpoint ID. Endpoints without calls have no entry.
func (p *Pool) OwnCalls() map[string]FleetLoad {
	calls := map[string]FleetLoad{}
	for id, e := range p.byID {
		if e.callsInFlight > 0 {
			calls[id] = FleetLoad{InFlight: e.callsInFlight, Waiting: e.callsWaiting}
		}
	}
	return calls
}
