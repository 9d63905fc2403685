// Interface: api.go (settings, events, actions). What is tuned, and the beginning; the decisions are in
// admit.go, pick.go, outcome.go and lists.go.

package decision

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// Balancer decides for one instance. It is not safe for concurrent use.
type Balancer struct {
	settings   Settings
	host       Host
	rng        *rand.Rand
	rateWindow time.Duration // over which rates are smoothed
	tick       time.Duration
	ticking    bool

	endpointIndex
	weighted        bool   // the listed weights tell endpoints apart
	listVersion     uint64 // of the last list
	requests        map[RequestID]*request
	classes         []class
	kindLatency     []runningMean // by machine kind
	kindServiceTime []runningMean // by machine kind: seconds of service that its endpoints report
	tenants         []tokenBucket
	shortageUntil   time.Duration // capacity counts as short until then
	totalQuota      float64       // requests a second within all shares, at this instance
	queue           []*request
	scratch         []*endpoint

	inFlight        int // attempts in flight
	predecessor     predecessorCalls
	overdueCalls    int          // those of them that no answer is expected for
	answers         int          // answers of any kind
	baseLoad        smoothedRate // base latencies answered a second: the calls in flight at little load
	inFlightLimit   float64      // on calls in flight
	subsetSizedAt   time.Duration
	position        int          // this instance's place on the ring: not its number, see scatter
	subsetSize      float64      // endpoints in this instance's subset,
	demandedSubset  float64      // and how many its own calls ask for
	slackLoad       smoothedRate // the same for the time from base latency to the aim
	answerRate      smoothedRate // answers a second
	requestRate     smoothedRate // requests a second,
	demandRate      decayingRate // and over a longer time
	latencyPressure float64      // smoothed latency over what it should at most be on average
	sendRate        float64      // calls a second that may be sent
	isPaced         bool         // the strain was above 1, and has not let go
	pressureAt      time.Duration
	sendCredit      float64
	sendCreditAt    time.Duration
	warmSends       smoothedRate // sends a second to warm endpoints, for their odds
	errorRate       float64      // smoothed share of answers that are errors
	missingShare    float64      // and of overdue calls that stay away for longer
	retryTokens     float64      // further attempts that may be made
	fleetRetries    *tokenBucket // that the fleet leaves to this instance; nil where answers earn them

	retriesHideElapsed bool    // clients' repeats do not show what they have spent: see spent
	meanRetryElapsed   float64 // mean time, in seconds, that repeats had spent where they show it

	drainDeadline                time.Duration // when this instance ends, where that is known,
	hasSuccessor                 bool          // and that another one serves in its place
	nextFetchAt                  time.Duration // no fetch before
	watchScheduled               bool          // after a pause,
	watchBackoff, watchStartedAt time.Duration // that counts from when the last watch began
}

// Timer tokens.
const (
	tokenTick = iota
	tokenWatch
)

// New makes a Balancer, or names the setting that it cannot act on.
func New(set Settings, seed uint64, host Host) (*Balancer, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: set, host: host, rng: rand.New(rand.NewPCG(seed, 0x6a617370)),
		endpointIndex: endpointIndex{byID: map[EndpointID]*endpoint{}}, requests: map[RequestID]*request{}, retryTokens: maxRetryTokens,
		missingShare: 0.5, drainDeadline: math.MaxInt64}
	b.settings.MaxAttempts = cmp.Or(set.MaxAttempts, maxRetryTokens) // without end is no bound for a fleet that refuses
	b.rateWindow = cmp.Or(set.OverloadWindow, time.Second)
	b.position = ringPosition(set.Ordinal, set.Instances)
	b.tick = max(tickQuanta*set.Quantum, time.Millisecond)
	for _, c := range set.Classes {
		b.classes = append(b.classes, class{Class: c, tailRatio: tailStartRatio})
	}
	return b, nil
}

// Timer takes a timer that fell due.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case tokenTick:
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
	case tokenWatch:
		b.watchScheduled, b.watchStartedAt = false, now
		b.host.Watch(true)
	}
}

// arm keeps the tick going while anything is held or in flight.
func (b *Balancer) startTick() {
	if !b.ticking && len(b.requests) > 0 {
		b.ticking = true
		b.host.SetTimer(tokenTick, b.tick)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
