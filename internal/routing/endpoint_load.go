package routing

import "time"

// work is an endpoint's own calls in flight, with what others have it do: as control sidecars say, or as it has lately
// said itself.
func (e *Endpoint) work(now time.Duration) float64 {
	work := float64(e.inFlight)
	switch {
	case e.othersAt > 0 && now-e.othersAt < othersFor:
		work += e.others
	case e.loadAt > 0 && now-e.loadAt < reportFor:
		others := max(float64(e.load.Running+e.load.Waiting-e.loadOwn), 0)
		work += others * (1 - float64(now-e.loadAt)/float64(reportFor))
	}
	return work
}

// streamingWork is what a call whose answer has begun counts for, against one that waits.
const streamingWork = 0.2

// FleetLoad is the calls of all sidecars to an endpoint, and how those that have ended did.
type FleetLoad struct {
	InFlight, Waiting int
	Outcomes          Outcomes
}

// SetFleetLoads takes the calls of all sidecars. An endpoint that is not named has none.
func (p *Pool) SetFleetLoads(now time.Duration, loads map[string]FleetLoad) {
	for id, e := range p.byID {
		total := loads[id]
		waiting := max(total.Waiting-e.waiting, 0)
		streaming := max(total.InFlight-total.Waiting-(e.inFlight-e.waiting), 0)
		e.others, e.othersAt = float64(waiting)+streamingWork*float64(streaming), now
		e.history.hear(now, total.Outcomes)
	}
}

// Calls lists the own calls, by endpoint.
func (p *Pool) Calls() map[string]FleetLoad {
	calls := map[string]FleetLoad{}
	for id, e := range p.byID {
		if e.inFlight > 0 {
			calls[id] = FleetLoad{InFlight: e.inFlight, Waiting: e.waiting}
		}
	}
	return calls
}
