package controlplane

import (
	"math"
	"time"

	"github.com/samber/lo"

	"dykering/internal/protocol"
	"dykering/internal/routing"
)

const (
	// shareEvery is the time between two words to peers of the calls of the sidecars here.
	shareEvery = 200 * time.Millisecond
	// shareFor is how long a peer's word counts.
	shareFor = time.Second
	// loadsEvery is the least time between two words to sidecars of all calls.
	loadsEvery = 250 * time.Millisecond
	// loadBytes is what the word of one endpoint takes, loadRate what a sidecar may be sent of it in a second: with many
	// endpoints it is sent less often.
	loadBytes = 18
	loadRate  = 4000
)

// loadTable is the calls to endpoints, by the sidecars that make them. The owner of the process owns it.
type loadTable struct {
	sidecars map[string][]protocol.EndpointLoad
	outcomes map[string]outcomeCount // of the sidecars here, by endpoint
	peers    map[string]peerLoads
	shareAt  time.Duration
	shared   bool // the last word to peers told of calls
	dueAt    time.Duration
}

type peerLoads struct {
	loads []protocol.EndpointLoad
	at    time.Duration
}

func newLoadTable() *loadTable {
	return &loadTable{sidecars: map[string][]protocol.EndpointLoad{}, peers: map[string]peerLoads{}, outcomes: map[string]outcomeCount{}}
}

// outcomeCount is the outcomes at one endpoint, as they counted at a time.
type outcomeCount struct {
	outcomes routing.Outcomes
	at       time.Duration
}

const (
	// leastCount is below what outcomes are forgotten, outcomeStep to what they are rounded on their way.
	leastCount  = 0.25
	outcomeStep = 0.25
	mostCounted = 16384
)

// report takes a sidecar's calls, in the place of those it told before, and counts how those that have ended did.
func (t *loadTable) report(now time.Duration, name string, loads []protocol.EndpointLoad) {
	for _, load := range loads {
		t.count(now, load.ID, routing.Outcomes{Good: load.Good, Failed: load.Failed})
	}
	underWay := lo.Filter(loads, func(load protocol.EndpointLoad, _ int) bool { return load.InFlight > 0 })
	if len(underWay) == 0 {
		delete(t.sidecars, name)
		return
	}
	t.sidecars[name] = underWay
}

// count adds outcomes at an endpoint.
func (t *loadTable) count(now time.Duration, id string, outcomes routing.Outcomes) {
	before, known := t.outcomes[id]
	if outcomes == (routing.Outcomes{}) || !known && len(t.outcomes) >= mostCounted {
		return
	}
	counted := before.outcomes.After(now - before.at)
	t.outcomes[id] = outcomeCount{outcomes: routing.Outcomes{Good: counted.Good + outcomes.Good, Failed: counted.Failed + outcomes.Failed}, at: now}
}

// counted is what outcomes at an endpoint count for now, rounded so that they take few bytes. Good ones are told only
// beside failures.
func (c outcomeCount) counted(now time.Duration) routing.Outcomes {
	outcomes := c.outcomes.After(now - c.at)
	if outcomes.Failed < leastCount {
		return routing.Outcomes{}
	}
	round := func(x float64) float64 { return math.Round(x/outcomeStep) * outcomeStep }
	return routing.Outcomes{Good: round(outcomes.Good), Failed: round(outcomes.Failed)}
}

// share takes a peer's word of the sidecars that follow a stream there.
func (t *loadTable) share(now time.Duration, m protocol.LoadShare) {
	t.peers[m.From] = peerLoads{loads: m.Loads, at: now}
}

// here sums the calls of the sidecars that follow a stream here.
func (t *loadTable) here(now time.Duration) map[string]protocol.EndpointLoad {
	sums := map[string]protocol.EndpointLoad{}
	for _, loads := range t.sidecars {
		for _, load := range loads {
			sum := sums[load.ID]
			sums[load.ID] = protocol.EndpointLoad{ID: load.ID, InFlight: sum.InFlight + load.InFlight, Waiting: sum.Waiting + load.Waiting}
		}
	}
	for id, count := range t.outcomes {
		told := count.counted(now)
		if told != (routing.Outcomes{}) {
			sum := sums[id]
			sum.ID, sum.Good, sum.Failed = id, told.Good, told.Failed
			sums[id] = sum
		}
		if left := count.outcomes.After(now - count.at); left.Good+left.Failed < leastCount {
			delete(t.outcomes, id)
		}
	}
	return sums
}

func addLoads(sums map[string]protocol.EndpointLoad, loads []protocol.EndpointLoad) {
	for _, load := range loads {
		sum := sums[load.ID]
		sums[load.ID] = protocol.EndpointLoad{ID: load.ID, InFlight: sum.InFlight + load.InFlight, Waiting: sum.Waiting + load.Waiting,
			Good: sum.Good + load.Good, Failed: sum.Failed + load.Failed}
	}
}

func listed(sums map[string]protocol.EndpointLoad) []protocol.EndpointLoad {
	loads := make([]protocol.EndpointLoad, 0, len(sums))
	for _, load := range sums {
		loads = append(loads, load)
	}
	return loads
}

// due gives the calls of all sidecars, where it is time to tell them.
func (t *loadTable) due(now time.Duration) ([]protocol.EndpointLoad, bool) {
	if now < t.dueAt {
		return nil, false
	}
	sums := t.here(now)
	for from, peer := range t.peers {
		if now-peer.at > shareFor {
			delete(t.peers, from)
			continue
		}
		addLoads(sums, peer.loads)
	}
	pause := time.Duration(len(sums)) * loadBytes * time.Second / loadRate
	t.dueAt = now + max(loadsEvery, pause)
	return listed(sums), true
}

// shareLoads tells peers of the calls of the sidecars here.
func (p *Process) shareLoads(now time.Duration) {
	t := p.loads
	if now < t.shareAt {
		return
	}
	t.shareAt = now + shareEvery
	loads := listed(t.here(now))
	if len(loads) == 0 && !t.shared {
		return
	}
	t.shared = len(loads) > 0
	for _, peer := range p.peers() {
		p.send(peer, protocol.LoadShare{From: p.node.Self().Address, Loads: loads})
	}
}
