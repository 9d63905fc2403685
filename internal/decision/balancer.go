package decision

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// Balancer decides for one instance. Its exported methods are its events; they must be called from one
// goroutine, with times that never decrease. See the package's documentation for its invariants.
type Balancer struct {
	settings     Settings
	host         Host
	rng          *rand.Rand
	rateWindow   time.Duration // time constant of all smoothed rates
	tickInterval time.Duration // interval between looks at queued and overdue calls
	ticking      bool          // a tick timer is set

	endpointIndex
	predecessor      predecessorCalls
	hasListedWeights bool   // the listed weights tell endpoints apart
	listVersion      uint64 // of the last list taken

	requests map[RequestID]*request
	queue    []*request  // wait for an endpoint, in order of arrival
	scratch  []*endpoint // reused by functions that collect endpoints

	// Statistics of latency (statistics.go).
	classes         []class       // as in Settings.Classes
	kindLatency     []runningMean // by machine kind: latency over the class's mean
	kindServiceTime []runningMean // by machine kind: seconds of service that endpoints report
	errorRate       float64       // smoothed share of answers that are errors
	missingShare    float64       // smoothed share of lost calls that go missing
	answers         int           // answers of any kind since the start

	// Rates (rates.go). Those of load are kept for each usable endpoint, so that the limit follows at once when
	// endpoints leave.
	baseLoad    smoothedRate // base latencies answered a second: calls in flight at little load
	slackLoad   smoothedRate // the same for a share of the time from base latency to latency target
	answerRate  smoothedRate // answers a second
	requestRate smoothedRate // requests a second
	demandRate  decayingRate // requests a second, over a longer time
	warmSends   smoothedRate // sends a second to warm endpoints, for each unit of their draw weight

	// Limits (limits.go).
	inFlight        int     // attempts in flight, but for those to ejected endpoints
	overdueCalls    int     // of them, those that no answer is expected for
	inFlightLimit   float64 // on attempts in flight
	latencyPressure float64 // smoothed latency over what it should at most be on average
	pressureAt      time.Duration
	isPaced         bool    // sends are paced, until the pressure is below 1
	sendRate        float64 // sends a second while they are paced
	sendCredit      float64 // sends that may be made now while they are paced
	sendCreditAt    time.Duration

	// Subset (subset.go).
	position       int     // of this instance on the ring
	subsetSize     float64 // in endpoints
	demandedSubset float64 // in endpoints, as the calls in flight ask for
	subsetSizedAt  time.Duration

	// Quotas and retries (quotas.go, retries.go).
	tenants       []tokenBucket // as in Settings.Tenants
	totalQuota    float64       // requests a second within all quotas, at this instance
	shortageUntil time.Duration // capacity counts as short until then
	retryTokens   float64       // further attempts that may be made
	fleetRetries  *tokenBucket  // this instance's share of the fleet's retries; nil where answers earn them

	// Clients (admission.go).
	retriesHideElapsed bool    // retries do not show how long the client has waited
	meanRetryElapsed   float64 // mean time that it had waited where they show it, in seconds
	drainDeadline      time.Duration
	hasSuccessor       bool // another instance serves in this one's place already

	// Endpoint list (endpoint_list.go).
	nextFetchAt    time.Duration // no fetch before
	watchScheduled bool          // a watch begins after a pause
	watchBackoff   time.Duration // that pause, counted from watchStartedAt
	watchStartedAt time.Duration
}

// Timer tokens, as passed to Host.SetTimer.
const (
	tokenTick = iota
	tokenWatch
)

// New makes a Balancer. The error names the first setting that it cannot act on.
func New(set Settings, seed uint64, host Host) (*Balancer, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:      set,
		host:          host,
		rng:           rand.New(rand.NewPCG(seed, 0x6a617370)),
		endpointIndex: endpointIndex{byID: map[EndpointID]*endpoint{}},
		requests:      map[RequestID]*request{},
		retryTokens:   maxRetryTokens,
		missingShare:  missingShareStart,
		drainDeadline: math.MaxInt64,
	}
	// Attempts without end would be no bound for a tier that rejects every call.
	b.settings.MaxAttempts = cmp.Or(set.MaxAttempts, maxRetryTokens)
	b.rateWindow = cmp.Or(set.OverloadWindow, time.Second)
	b.position = ringPosition(set.Ordinal, set.Instances)
	b.tickInterval = max(tickQuanta*set.Quantum, time.Millisecond)
	for _, c := range set.Classes {
		b.classes = append(b.classes, class{Class: c, tailRatio: tailStartRatio})
	}
	return b, nil
}

// Timer is the event of a timer that has expired.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case tokenTick:
		b.onTick(now)
	case tokenWatch:
		b.watchScheduled, b.watchStartedAt = false, now
		b.host.Watch(true)
	}
}

// onTick ends slow starts, ejects silent endpoints, withdraws overdue calls and dispatches queued requests.
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

// startTick keeps the tick timer set while there are requests.
func (b *Balancer) startTick() {
	if !b.ticking && len(b.requests) > 0 {
		b.ticking = true
		b.host.SetTimer(tokenTick, b.tickInterval)
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
