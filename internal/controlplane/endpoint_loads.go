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
	loadBroadcastInterval = 200 * time.Millisecond
	// shareFor is how long a peer's word counts.
	peerLoadsTTL = time.Second
	// loadsEvery is the least time between two words to sidecars of all calls.
	loadStreamInterval = 250 * time.Millisecond
	// loadBytes is what the word of one endpoint takes, loadRate what a sidecar may be sent of it in a second: with many
	// endpoints it is sent less often.
	encodedLoadBytes      = 18
	maxLoadBytesPerSecond = 4000
)

// loadTable is the calls to endpoints, by the sidecars that make them. The owner of the process owns it.
type endpointLoadTable struct {
	sidecars          map[string][]protocol.EndpointLoad
	outcomes          map[string]decayedOutcomes // of the sidecars here, by endpoint
	peers             map[string]peerLoads
	broadcastDue      time.Duration
	broadcastNonEmpty bool // the last word to peers told of calls
	streamDue         time.Duration
}

type peerLoads struct {
	loads []protocol.EndpointLoad
	at    time.Duration
}

func newEndpointLoadTable() *endpointLoadTable {
	return &endpointLoadTable{sidecars: map[string][]protocol.EndpointLoad{}, peers: map[string]peerLoads{}, outcomes: map[string]decayedOutcomes{}}
}

// outcomeCount is the outcomes at one endpoint, as they counted at a time.
type decayedOutcomes struct {
	outcomes routing.Outcomes
	at       time.Duration
}

const (
	// leastCount is below what outcomes are forgotten, outcomeStep to what they are rounded on their way.
	minOutcomes         = 0.25
	outcomesResolution  = 0.25
	maxOutcomeEndpoints = 16384
)

// report takes a sidecar's calls, in the place of those it told before, and counts how those that have ended did.
func (t *endpointLoadTable) applyReport(now time.Duration, name string, loads []protocol.EndpointLoad) {
	for _, load := range loads {
		t.addOutcomes(now, load.ID, routing.Outcomes{Good: load.Good, Failed: load.Failed})
	}
	underWay := lo.Filter(loads, func(load protocol.EndpointLoad, _ int) bool { return load.InFlight > 0 })
	if len(underWay) == 0 {
		delete(t.sidecars, name)
		return
	}
	t.sidecars[name] = underWay
}

// count adds outcomes at an endpoint.
func (t *endpointLoadTable) addOutcomes(now time.Duration, id string, outcomes routing.Outcomes) {
	before, known := t.outcomes[id]
	if outcomes == (routing.Outcomes{}) || !known && len(t.outcomes) >= maxOutcomeEndpoints {
		return
	}
	counted := before.outcomes.Decayed(now - before.at)
	t.outcomes[id] = decayedOutcomes{outcomes: routing.Outcomes{Good: counted.Good + outcomes.Good, Failed: counted.Failed + outcomes.Failed}, at: now}
}

// counted is what outcomes at an endpoint count for now, rounded so that they take few bytes. Good ones are told only
// beside failures.
func (c decayedOutcomes) rounded(now time.Duration) routing.Outcomes {
	outcomes := c.outcomes.Decayed(now - c.at)
	if outcomes.Failed < minOutcomes {
		return routing.Outcomes{}
	}
	round := func(x float64) float64 { return math.Round(x/outcomesResolution) * outcomesResolution }
	return routing.Outcomes{Good: round(outcomes.Good), Failed: round(outcomes.Failed)}
}

// share takes a peer's word of the sidecars that follow a stream there.
func (t *endpointLoadTable) applyPeerLoads(now time.Duration, m protocol.EndpointLoadSync) {
	t.peers[m.From] = peerLoads{loads: m.Loads, at: now}
}

// here sums the calls of the sidecars that follow a stream here.
func (t *endpointLoadTable) localTotals(now time.Duration) map[string]protocol.EndpointLoad {
	sums := map[string]protocol.EndpointLoad{}
	for _, loads := range t.sidecars {
		for _, load := range loads {
			sum := sums[load.ID]
			sums[load.ID] = protocol.EndpointLoad{ID: load.ID, InFlight: sum.InFlight + load.InFlight, Waiting: sum.Waiting + load.Waiting}
		}
	}
	for id, count := range t.outcomes {
		told := count.rounded(now)
		if told != (routing.Outcomes{}) {
			sum := sums[id]
			sum.ID, sum.Good, sum.Failed = id, told.Good, told.Failed
			sums[id] = sum
		}
		if left := count.outcomes.Decayed(now - count.at); left.Good+left.Failed < minOutcomes {
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
func (t *endpointLoadTable) totalsIfDue(now time.Duration) ([]protocol.EndpointLoad, bool) {
	if now < t.streamDue {
		return nil, false
	}
	sums := t.localTotals(now)
	for from, peer := range t.peers {
		if now-peer.at > peerLoadsTTL {
			delete(t.peers, from)
			continue
		}
		addLoads(sums, peer.loads)
	}
	pause := time.Duration(len(sums)) * encodedLoadBytes * time.Second / maxLoadBytesPerSecond
	t.streamDue = now + max(loadStreamInterval, pause)
	return listed(sums), true
}

// shareLoads tells peers of the calls of the sidecars here.
func (s *Server) broadcastEndpointLoads(now time.Duration) {
	t := s.endpointLoads
	if now < t.broadcastDue {
		return
	}
	t.broadcastDue = now + loadBroadcastInterval
	loads := listed(t.localTotals(now))
	if len(loads) == 0 && !t.broadcastNonEmpty {
		return
	}
	t.broadcastNonEmpty = len(loads) > 0
	for _, peer := range s.peerAddresses() {
		s.send(peer, protocol.EndpointLoadSync{From: s.chain.Self().Address, Loads: loads})
	}
}
