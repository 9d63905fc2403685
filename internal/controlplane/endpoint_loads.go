package controlplane

import (
	"math"
	"time"

	"github.com/samber/lo"

	"dykering/internal/protocol"
	"dykering/internal/routing"
)

const (
	// loadBroadcastInterval is the time between two broadcasts to the peers of the load by this member's subscribers.
	loadBroadcastInterval = 200 * time.Millisecond
	// peerLoadsTTL is how long a peer's broadcast counts: five intervals. After that its proxies report to others.
	peerLoadsTTL = time.Second
	// loadStreamInterval is the least time between two updates with loads in a stream.
	loadStreamInterval = 250 * time.Millisecond
	// encodedLoadBytes is the size of one endpoint's load in an update, and maxLoadBytesPerSecond what a stream may carry
	// of them: with many endpoints loads are sent less often.
	encodedLoadBytes      = 18
	maxLoadBytesPerSecond = 4000

	// minOutcomes is the decayed count of failures below which an endpoint's outcomes are not sent, and of all outcomes
	// below which they are forgotten.
	minOutcomes = 0.25
	// outcomesResolution is what counts are rounded to, so that they take few bytes.
	outcomesResolution = 0.25
	// maxOutcomeEndpoints bounds the endpoints whose outcomes are counted: their names come from proxies.
	maxOutcomeEndpoints = 16384
)

// endpointLoadTable holds the requests in flight at each endpoint, and how those that have ended did, over all proxies. The
// proxies balance by it. The event loop owns it.
type endpointLoadTable struct {
	proxies  map[string][]protocol.EndpointLoad // the last report of each subscriber of this member
	outcomes map[string]decayedOutcomes         // by this member's subscribers, by endpoint
	peers    map[string]peerLoads               // the last broadcast of each peer

	broadcastDue          time.Duration
	lastBroadcastHadLoads bool // the last broadcast had loads: one without is due before broadcasts cease
	streamDue             time.Duration
}

type peerLoads struct {
	loads      []protocol.EndpointLoad
	receivedAt time.Duration
}

// decayedOutcomes are the outcomes at one endpoint, with the weight that they had at a time.
type decayedOutcomes struct {
	outcomes routing.Outcomes
	at       time.Duration
}

func newEndpointLoadTable() *endpointLoadTable {
	return &endpointLoadTable{
		proxies: map[string][]protocol.EndpointLoad{}, peers: map[string]peerLoads{}, outcomes: map[string]decayedOutcomes{},
	}
}

// applyReport replaces a proxy's loads by those of its new report, and adds the outcomes since the last one.
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

// rounded returns the outcomes with their weight at a time, as they are sent. Good ones are sent only beside failures, as
// they serve to weigh those.
func (d decayedOutcomes) rounded(now time.Duration) routing.Outcomes {
	outcomes := d.outcomes.Decayed(now - d.at)
	if outcomes.Failed < minOutcomes {
		return routing.Outcomes{}
	}
	round := func(x float64) float64 { return math.Round(x/outcomesResolution) * outcomesResolution }
	return routing.Outcomes{Good: round(outcomes.Good), Failed: round(outcomes.Failed)}
}

// applyPeerLoads replaces the loads by a peer's subscribers.
func (t *endpointLoadTable) applyPeerLoads(now time.Duration, m protocol.EndpointLoadSync) {
	t.peers[m.From] = peerLoads{loads: m.Loads, receivedAt: now}
}

// localTotals sums the loads by this member's subscribers, by endpoint, and forgets outcomes that weigh next to nothing.
func (t *endpointLoadTable) localTotals(now time.Duration) map[string]protocol.EndpointLoad {
	totals := map[string]protocol.EndpointLoad{}
	for _, loads := range t.proxies {
		for _, load := range loads {
			total := totals[load.ID]
			totals[load.ID] = protocol.EndpointLoad{ID: load.ID, InFlight: total.InFlight + load.InFlight, Waiting: total.Waiting + load.Waiting}
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

func addLoads(totals map[string]protocol.EndpointLoad, loads []protocol.EndpointLoad) {
	for _, load := range loads {
		total := totals[load.ID]
		totals[load.ID] = protocol.EndpointLoad{
			ID: load.ID, InFlight: total.InFlight + load.InFlight, Waiting: total.Waiting + load.Waiting,
			Good: total.Good + load.Good, Failed: total.Failed + load.Failed,
		}
	}
}

// totalsIfDue returns the loads by all proxies of the system, where it is time to stream them.
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

// broadcastEndpointLoads sends the peers the loads by this member's subscribers.
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
