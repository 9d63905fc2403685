package decision

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// Balancer makes the decisions of one instance. Its exported methods are events and queries; they must be
// called from one goroutine, with times that never decrease. The package documentation lists its invariants.
type Balancer struct {
	settings     Settings
	host         Host
	rng          *rand.Rand
	rateWindow   time.Duration // time constant of all smoothed rates
	tickInterval time.Duration // interval between checks of queued and overdue calls
	ticking      bool          // a tick timer is set

	endpointIndex
	predecessor      predecessorCalls
	hasListedWeights bool   // the listed weights are plausible and differ
	listVersion      uint64 // version of the last list that was applied

	requests map[RequestID]*request
	queue    []*request  // requests that wait for an endpoint, in order of arrival
	scratch  []*endpoint // buffer that functions reuse to collect endpoints

	// Statistics of latency (statistics.go).
	classes         []class       // in the order of Settings.Classes
	kindLatency     []runningMean // by machine kind: latency divided by the mean of the class
	kindServiceTime []runningMean // by machine kind: reported service time in seconds
	errorRate       float64       // smoothed share of answers that are errors
	missingShare    float64       // smoothed share of lost calls that are never answered
	answers         int           // number of answers of any kind since the start

	// Rates (rates.go). The load rates are stored per usable endpoint, so that the limit follows at once when
	// endpoints leave.
	baseLoad    smoothedRate // base latencies answered per second: calls in flight at little load
	slackLoad   smoothedRate // the same sum for a share of the time from base latency to latency target
	answerRate  smoothedRate // answers per second
	requestRate smoothedRate // requests per second
	demandRate  decayingRate // requests per second, averaged over a longer time
	warmSends   smoothedRate // sends per second to warm endpoints, per unit of their draw weight

	// Limits (limits.go).
	inFlight        int     // attempts in flight, without those to ejected endpoints
	overdueCalls    int     // attempts of inFlight that will probably not be answered
	inFlightLimit   float64 // limit on attempts in flight
	latencyPressure float64 // smoothed latency divided by the highest acceptable mean latency
	pressureAt      time.Duration
	isPaced         bool    // sends are paced until the pressure is at most 1
	sendRate        float64 // allowed sends per second while sends are paced
	sendCredit      float64 // sends that are allowed now while sends are paced
	sendCreditAt    time.Duration

	// Subset (subset.go).
	position       int     // slot of this instance on the ring of endpoints
	subsetSize     float64 // number of endpoints in the subset
	demandedSubset float64 // number of endpoints that the calls in flight require
	subsetSizedAt  time.Duration

	// Quotas and retries (quotas.go, retries.go).
	tenants       []tokenBucket // in the order of Settings.Tenants
	totalQuota    float64       // sum of the tenants' quotas at this instance, in requests per second
	shortageUntil time.Duration // capacity counts as insufficient until this time
	retryTokens   float64       // retries that the budget allows now
	fleetRetries  *tokenBucket  // share of the fleet's retry budget; nil if answers refill the budget

	// Clients (admission.go).
	retriesHideElapsed bool    // the retries of clients do not show how long the client has waited
	meanRetryElapsed   float64 // mean wait of clients before retries that show it, in seconds
	drainDeadline      time.Duration
	hasSuccessor       bool // the successor process already serves in place of this one

	// Endpoint list (endpoint_list.go).
	nextFetchAt    time.Duration // no fetch before this time
	watchScheduled bool          // a timer is set that starts a watch
	watchBackoff   time.Duration // pause between the start of a watch and the next one
	watchStartedAt time.Duration
}

// Timer tokens, as passed to Host.SetTimer.
const (
	tokenTick = iota
	tokenWatch
)

// New returns a Balancer. The error names the first invalid setting.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:      settings,
		host:          host,
		rng:           rand.New(rand.NewPCG(seed, 0x6a617370)),
		endpointIndex: endpointIndex{byID: map[EndpointID]*endpoint{}},
		requests:      map[RequestID]*request{},
		retryTokens:   maxRetryTokens,
		missingShare:  missingShareStart,
		drainDeadline: math.MaxInt64,
	}
	// Without a limit on attempts, a request would be sent again without end on a tier that rejects every call.
	b.settings.MaxAttempts = cmp.Or(settings.MaxAttempts, maxRetryTokens)
	b.rateWindow = cmp.Or(settings.OverloadWindow, time.Second)
	b.position = ringPosition(settings.Ordinal, settings.Instances)
	b.tickInterval = max(tickQuanta*settings.Quantum, time.Millisecond)
	for _, c := range settings.Classes {
		b.classes = append(b.classes, class{Class: c, tailRatio: tailStartRatio})
	}
	return b, nil
}

// Timer handles the event that a timer has expired.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case tokenTick:
		b.onTick(now)
	case tokenWatch:
		b.watchScheduled, b.watchStartedAt = false, now
		b.host.Watch(true)
	}
}

// onTick ends slow starts that are complete, ejects silent endpoints, withdraws overdue calls and dispatches
// queued requests.
func (b *Balancer) onTick(now time.Duration) {
	b.ticking = false
	b.overdueCalls = 0
	for _, e := range b.overdue {
		e.overdueCalls = 0
	}
	b.overdue = b.overdue[:0]
	for _, e := range append(b.scratch[:0], b.inSlowStart...) {
		if b.capacityShare(now, e) >= 1 {
			b.setState(e, stateUsable)
		}
	}
	for _, e := range append(b.scratch[:0], b.busy...) {
		b.ejectIfSilent(now, e)
		b.withdrawOverdue(now, e)
	}
	b.dispatch(now)
	b.startTick()
}

// startTick sets the tick timer if there are requests and it is not set.
func (b *Balancer) startTick() {
	if !b.ticking && len(b.requests) > 0 {
		b.ticking = true
		b.host.SetTimer(tokenTick, b.tickInterval)
	}
}

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
