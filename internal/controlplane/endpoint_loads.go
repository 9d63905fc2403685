package controlplane

import (
	"math"
	"time"

	"github.com/samber/lo"

	"dykering/internal/protocol"
	"dykering/internal/routing"
)

const (
	// loadBroadcastInterval is the time between two broadcasts of the loads that this member's subscribers report.
	loadBroadcastInterval = 200 * time.Millisecond
	// peerLoadsTTL is how long the broadcast of a peer is used: five intervals. After that the peer counts as gone, and
	// its proxies report to other members.
	peerLoadsTTL = time.Second
	// loadStreamInterval is the minimum time between two updates with loads in a stream.
	loadStreamInterval = 250 * time.Millisecond
	// encodedLoadBytes is the size of one endpoint's load in an update. maxLoadBytesPerSecond bounds the bytes of loads
	// in a stream: with many endpoints, loads are sent less often.
	encodedLoadBytes      = 18
	maxLoadBytesPerSecond = 4000

	// minOutcomes is the decayed count of failures below which the outcomes of an endpoint are not sent. Outcomes whose
	// total count is below it are deleted.
	minOutcomes = 0.25
	// outcomesResolution is the unit to which counts are rounded, so that their encoding is short.
	outcomesResolution = 0.25
	// maxOutcomeEndpoints bounds the endpoints whose outcomes are counted, because their names come from proxies.
	maxOutcomeEndpoints = 16384
)

// endpointLoadTable holds, for each endpoint, the requests in flight and the outcomes of recent requests, over all
// proxies. Proxies balance load with it. It is owned by the event loop.
type endpointLoadTable struct {
	proxies  map[string][]protocol.EndpointLoad // last report of each subscriber of this member
	outcomes map[string]decayedOutcomes         // by endpoint, from the reports of this member's subscribers
	peers    map[string]peerLoads               // last broadcast of each peer

	broadcastDue          time.Duration
	lastBroadcastHadLoads bool // if so, one empty broadcast follows before broadcasts stop
	streamDue             time.Duration
}

// peerLoads is the last broadcast of a peer.
type peerLoads struct {
	loads      []protocol.EndpointLoad
	receivedAt time.Duration
}

// decayedOutcomes holds the outcomes at one endpoint, with the weights that they had at the given time.
type decayedOutcomes struct {
	outcomes routing.Outcomes
	at       time.Duration
}

func newEndpointLoadTable() *endpointLoadTable {
	return &endpointLoadTable{
		proxies: map[string][]protocol.EndpointLoad{}, peers: map[string]peerLoads{}, outcomes: map[string]decayedOutcomes{},
	}
}

// applyReport replaces the loads of a proxy by those of its new report, and adds the outcomes since its last report.
func (t *endpointLoadTable) applyReport(now time.Duration, proxy string, loads []protocol.EndpointLoad) {
	for _, load := range loads {
		t.addOutcomes(now, load.ID, routing.Outcomes{Good: load.Good, Failed: load.Failed})
	}
	inFlight := lo.Filter(loads, func(load protocol.EndpointLoad, _ int) bool { return load.InFlight > 0 })
	if len(inFlight) == 0 {
		delete(t.proxies, proxy)
		return
	}
	t.proxies[proxy] = inFlight
}

// addOutcomes adds new outcomes at an endpoint to the decayed earlier ones.
func (t *endpointLoadTable) addOutcomes(now time.Duration, endpoint string, outcomes routing.Outcomes) {
	before, known := t.outcomes[endpoint]
	if outcomes == (routing.Outcomes{}) || !known && len(t.outcomes) >= maxOutcomeEndpoints {
		return
	}
	sum := before.outcomes.Decayed(now - before.at)
	sum.Good += outcomes.Good
	sum.Failed += outcomes.Failed
	t.outcomes[endpoint] = decayedOutcomes{outcomes: sum, at: now}
}

// rounded returns the outcomes as they are sent: decayed to the given time and rounded. Without failures it returns
// zero, because successes serve only to weigh failures.
func (d decayedOutcomes) rounded(now time.Duration) routing.Outcomes {
	outcomes := d.outcomes.Decayed(now - d.at)
	if outcomes.Failed < minOutcomes {
		return routing.Outcomes{}
	}
	round := func(x float64) float64 { return math.Round(x/outcomesResolution) * outcomesResolution }
	return routing.Outcomes{Good: round(outcomes.Good), Failed: round(outcomes.Failed)}
}

// applyPeerLoads replaces the loads that a peer has broadcast.
func (t *endpointLoadTable) applyPeerLoads(now time.Duration, m protocol.EndpointLoadSync) {
	t.peers[m.From] = peerLoads{loads: m.Loads, receivedAt: now}
}

// localTotals sums the loads from this member's subscribers by endpoint. It deletes outcomes whose weight is
// negligible.
func (t *endpointLoadTable) localTotals(now time.Duration) map[string]protocol.EndpointLoad {
	totals := map[string]protocol.EndpointLoad{}
	for _, loads := range t.proxies {
		for _, load := range loads {
			total := totals[load.ID]
			totals[load.ID] = protocol.EndpointLoad{
				ID: load.ID, InFlight: total.InFlight + load.InFlight, Waiting: total.Waiting + load.Waiting,
			}
		}
	}
	for id, decayed := range t.outcomes {
		if outcomes := decayed.rounded(now); outcomes != (routing.Outcomes{}) {
			total := totals[id]
			total.ID, total.Good, total.Failed = id, outcomes.Good, outcomes.Failed
			totals[id] = total
		}
		if rest := decayed.outcomes.Decayed(now - decayed.at); rest.Good+rest.Failed < minOutcomes {
			delete(t.outcomes, id)
		}
	}
	return totals
}

// addLoads adds loads to the totals by endpoint.
func addLoads(totals map[string]protocol.EndpointLoad, loads []protocol.EndpointLoad) {
	for _, load := range loads {
		total := totals[load.ID]
		totals[load.ID] = protocol.EndpointLoad{
			ID: load.ID, InFlight: total.InFlight + load.InFlight, Waiting: total.Waiting + load.Waiting,
			Good: total.Good + load.Good, Failed: total.Failed + load.Failed,
		}
	}
}

// totalsIfDue returns the loads over all proxies of the system, if the next update with loads is due.
func (t *endpointLoadTable) totalsIfDue(now time.Duration) ([]protocol.EndpointLoad, bool) {
	if now < t.streamDue {
		return nil, false
	}
	totals := t.localTotals(now)
	for from, peer := range t.peers {
		if now-peer.receivedAt > peerLoadsTTL {
			delete(t.peers, from)
			continue
		}
		addLoads(totals, peer.loads)
	}
	sendingTime := time.Duration(len(totals)) * encodedLoadBytes * time.Second / maxLoadBytesPerSecond
	t.streamDue = now + max(loadStreamInterval, sendingTime)
	return lo.Values(totals), true
}

// broadcastEndpointLoads sends the loads from this member's subscribers to the peers, if a broadcast is due.
func (s *Server) broadcastEndpointLoads(now time.Duration) {
	t := s.endpointLoads
	if now < t.broadcastDue {
		return
	}
	t.broadcastDue = now + loadBroadcastInterval
	loads := lo.Values(t.localTotals(now))
	if len(loads) == 0 && !t.lastBroadcastHadLoads {
		return
	}
	t.lastBroadcastHadLoads = len(loads) > 0
	s.broadcast(protocol.EndpointLoadSync{From: s.chain.Self().Address, Loads: loads})
}
