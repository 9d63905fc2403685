package decision

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds the state that decisions rest on, and how figures are smoothed; it decides nothing.

// mark is what an endpoint is open to.
type endpointState uint8

const (
	stateUsable    endpointState = iota
	stateSlowStart               // usable, but just started or just back: drawn less often
	stateEjected                 // gets trial calls only
	stateDraining                // draining or gone: gets nothing new
)

// endpoint is what this instance knows of one endpoint.
type endpoint struct {
	id            EndpointID
	zone, cell    int
	kind          int
	weight        float64 // listed size, compared with others'
	latencyRatio  runningMean
	serviceTime   runningMean // seconds of service that it reports
	state         endpointState
	listed        bool          // by the last list,
	indexed       bool          // and the sets of the roster know;
	departed      bool          // it is among those that have gone
	started       time.Duration // process start as listed
	listVersion   uint64        // of the list that named it last
	slowStartFrom time.Duration // since when its ramp counts
	drainingSince time.Duration // when it was last seen to drain or to be gone,
	wasEjected    bool          // and that it was isolated then: coming back proves nothing

	calls             []*request // own calls in flight, oldest first
	uploads           int        // and those whose request is still being sent
	connectionReset   bool       // a connection broke: it may have restarted, and be cold
	subsetWeight      float64    // of its weight that is in this instance's subset; 0 outside of it
	lastAnswer        time.Duration
	rejectingUntil    time.Duration // turned a call away: passed over until then
	errorRate         float64       // smoothed share of answers that are errors
	lossRate          float64       // and of calls that it lost
	overdueCalls      int           // own calls in flight that it will hardly answer
	trialAt           time.Duration
	trialBackoff      time.Duration
	peerTrialBackoff  time.Duration // the first pause of an isolation on the word of others; 0 for one by own calls
	trialAfterAnswers int           // answers of any kind before which there is none
	slowStartTokens   float64       // sends a ramping endpoint may get now
	slowStartTokensAt time.Duration
}

// request is one request from its arrival to its final answer and last outcome.
type request struct {
	id            RequestID
	arrivedAt     time.Duration // when it came
	class         *class
	overQuota     bool // beyond its tenant's share
	deadline      time.Duration
	targetAt      time.Duration // an answer after this is worth little
	attempts      int
	current       *endpoint // of the attempt that is out
	lastFailed    *endpoint // of the last attempt that failed
	sentAt        time.Duration
	answersAtSend int  // the fleet's answers when it was sent
	trial         bool // the attempt that is out ends an isolation if it is served
	mayHaveRunAt  *endpoint
	ranInZone     int // of mayRun when it was sent
	ranInCell     int
	firstRunAt    time.Duration // when the first attempt that may have run was sent
	queued        bool
	longBody      bool // it is sent as it comes,
	uploading     bool // and some of it is still to come
	responding    bool // its answer is on its way to the client
	final         bool
	withdrawn     bool // withdrawn by us: the outcome is still to come

	overtaken int  // answers to calls that were sent after the attempt that is out
	overdue   bool // that attempt will hardly be answered,
	missing   bool // and was not for longer still
}

// isOut tells whether an attempt is the one that is out.
func (r *request) isCurrent(attempt int, at EndpointID) bool {
	return r.current != nil && r.current.id == at && attempt == r.attempts-1
}

// within is how long a further attempt of a keyed request may take to be out, for repeats to be dropped: its window
// counts from the first that may have run, and holds for when the last byte is out, not for when it was decided. 0 is
// no bound.
func (b *Balancer) replayWindowLeft(now time.Duration, r *request) time.Duration {
	if r.mayHaveRunAt == nil || r.class.Effect != Keyed {
		return 0
	}
	return r.firstRunAt + r.class.Window - b.tick - now
}

// class is a class of request with what was seen of its latency.
type class struct {
	Class
	meanLatency   float64 // seconds, smoothed
	baseLatency   float64 // seconds, at little load
	usualLatency  float64 // seconds, at a usual load
	tailRatio     float64 // means that one answer in a hundred passes
	windowSum     float64
	windowAnswers int
	windowStart   time.Duration // start of the window that sum and n cover
	windows       int           // looked at so far
	maxRemaining  time.Duration
	marginalValue float64 // of serving one more of it
	requests      float64 // requests of late,
	onTime        float64 // and those of them answered within their aim
}

// flow is an exponentially smoothed rate and its recent peak.
type smoothedRate struct {
	current, peakRate float64
	at                time.Duration
}

func (f *smoothedRate) add(now, window time.Duration, x float64) {
	dt := float64(now-f.at) / float64(window)
	f.current = f.current*math.Exp(-dt) + x/window.Seconds()
	f.peakRate = max(f.current, f.peakRate*math.Exp(-dt/peakHoldWindows))
	f.at = now
}

// value is the present rate.
func (f *smoothedRate) value(now, window time.Duration) float64 {
	return f.current * math.Exp(-float64(now-f.at)/float64(window))
}

// peak is the highest rate of late.
func (f *smoothedRate) peak(now, window time.Duration) float64 {
	return f.peakRate * math.Exp(-float64(now-f.at)/float64(window)/peakHoldWindows)
}

// average is a rate of events, smoothed over a time, or since the first of them where that is shorter.
type decayingRate struct {
	sum         float64 // events, less those that have faded
	at, firstAt time.Duration
}

func (a *decayingRate) add(now, over time.Duration) {
	if a.sum == 0 {
		a.firstAt = now
	}
	a.sum = a.sum*math.Exp(-float64(now-a.at)/float64(over)) + 1
	a.at = now
}

// value is the present rate; until a tenth of the time has passed that is taken to have.
func (a *decayingRate) value(now, over time.Duration) float64 {
	known := 1 - math.Exp(-max(float64(now-a.firstAt)/float64(over), 0.1))
	return a.sum * math.Exp(-float64(now-a.at)/float64(over)) / over.Seconds() / known
}

// demandWindows is how many rate windows a broker's demand is averaged over: one that is rarely asked has few requests.
const demandRateWindows = 10

// pace is a smoothed latency ratio and the number of answers, up to a limit, that it rests on.
type runningMean struct{ mean, count float64 }

func (p *runningMean) add(x, weight float64) {
	p.count = min(p.count+1, 1/weight)
	p.mean += (x - p.mean) / p.count
}

// bucket meters what a tenant may ask for within its share.
type tokenBucket struct {
	rate, level, capacity float64
	minCapacity           float64 // of most, whatever the rate
	at                    time.Duration
	usage                 Usage
	fallbackRate          float64       // the rate from
	rateUntil             time.Duration // then on; 0 for no end
}

// allot sets a bucket's rate until a time, and the one from then on; saved counts at most for that of now.
func (b *tokenBucket) setRate(now time.Duration, rate, floor float64, until time.Duration, least float64) {
	b.spend(now, 0)
	b.rate, b.fallbackRate, b.rateUntil, b.minCapacity = rate, floor, until, least
	b.capacity = least + rate*tenantBurstSeconds
	b.level = min(b.level, b.capacity)
}

// lapse ends a rate whose time is over, from when it was: whoever looks late, as after a stall, finds no more than that.
func (b *tokenBucket) expireRate(now time.Duration) {
	if b.rateUntil == 0 || now < b.rateUntil {
		return
	}
	until := max(b.rateUntil, b.at)
	b.level = min(b.capacity, b.level+b.rate*(until-b.at).Seconds())
	b.rate, b.capacity, b.at, b.rateUntil = b.fallbackRate, b.minCapacity+b.fallbackRate*tenantBurstSeconds, until, 0
	b.level = min(b.level, b.capacity)
}

// earn adds what an answered call earns to the further attempts that may be made.
func (b *Balancer) earnRetry() {
	if b.fleetRetries == nil {
		b.retryTokens = min(b.retryTokens+retryTokensPerAnswer, maxRetryTokens)
	}
}

// newBucket makes a bucket that holds some seconds of its rate, and a few more for chance. It starts with next
// to nothing: a tier that starts on more than it can do must not fill up before that is known.
func newTokenBucket(now time.Duration, rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, level: tenantStartTokens, capacity: tenantBurstBase + rate*burst, at: now}
}

// take takes n out, if they are there.
func (b *tokenBucket) take(now time.Duration, n float64) bool {
	b.spend(now, 0)
	b.usage.Asked++
	if b.level < n {
		return false
	}
	b.level -= n
	b.usage.WithinQuota++
	return true
}

// spend takes n out, on credit where they are not there: as much as it can hold.
func (b *tokenBucket) spend(now time.Duration, n float64) {
	b.expireRate(now)
	b.level = max(min(b.capacity, b.level+b.rate*(now-b.at).Seconds())-n, -b.capacity)
	b.at = now
}

// over is the ratio of a kind's mean to that of one of its endpoints; 1 while nothing is known of it.
func (p runningMean) relativeTo(own runningMean) float64 {
	if own.count == 0 || p.count == 0 {
		return 1
	}
	return p.mean / own.mean
}

// look moves the base latency by the mean of a window. The first window holds only the short ones of the
// first calls, and is passed over: a base learnt from it would hold back nearly everything.
func (c *class) updateBase(mean float64) {
	c.windows++
	// The base latency comes to lie well under the mean of an easy tier, as it follows the lowest windows;
	// strain measured against it held calls back on quiet days.
	if c.windows <= baseSkippedWindows+1 {
		c.usualLatency, c.baseLatency = mean, mean
		return
	}
	c.usualLatency = moveTowards(c.usualLatency, mean, usualRiseWeight)
	c.baseLatency = moveTowards(c.baseLatency, mean, baseRiseWeight)
}

// follow moves a latency towards a mean: faster where that is lower.
func moveTowards(latency, mean, rise float64) float64 {
	if mean < latency {
		rise = baseFallWeight
	}
	return latency + rise*(mean-latency)
}

// notePace takes an answer's latency, over the mean of its class, into the pace of its endpoint and of all
// endpoints of its kind: an endpoint that is seldom called is judged by its kind.
func (b *Balancer) recordLatencyRatio(e *endpoint, slow float64) {
	if e.kind >= len(b.kindLatency) {
		b.kindLatency = append(b.kindLatency, make([]runningMean, e.kind+1-len(b.kindLatency))...)
	}
	b.kindLatency[e.kind].add(slow, kindMeanWeight)
	e.latencyRatio.add(slow, endpointMeanWeight)
}

// tally counts a request of a class, and lets the past fade.
func (b *Balancer) countRequest(now time.Duration, c *class) {
	b.demandRate.add(now, demandRateWindows*b.rateWindow)
	if c.requests++; c.requests < classWindowRequests {
		return
	}
	for i := range b.classes {
		b.classes[i].requests /= 2
		b.classes[i].onTime /= 2
	}
}

// slow is an endpoint's latency over the fleet's, drawn towards its kind's while its own answers are few.
func (b *Balancer) relativeLatency(e *endpoint) float64 {
	return (kindPriorAnswers*b.kindLatencyRatio(e) + e.latencyRatio.count*e.latencyRatio.mean) / (kindPriorAnswers + e.latencyRatio.count)
}

// kindPace is the latency over the fleet's of an endpoint's kind; 1 while too few answers tell.
func (b *Balancer) kindLatencyRatio(e *endpoint) float64 {
	if e.kind < len(b.kindLatency) && b.kindLatency[e.kind].count >= kindPriorAnswers {
		return b.kindLatency[e.kind].mean
	}
	return 1
}

// noteError takes an answer into the error shares of its endpoint and the fleet.
func (b *Balancer) recordError(e *endpoint, x, weight float64) {
	e.errorRate += weight * (x - e.errorRate)
	b.errorRate += fleetErrorWeight * (x - b.errorRate)
}

// mostWeight is more than any weight can be: with one that cannot, a list tells nothing of sizes.
const maxListedWeight = 1e6

// weigh notes, where weights or endpoints are others than before, whether the listed weights are all such as can be, and tell endpoints apart.
func (b *Balancer) checkWeights() {
	if !b.weightsChanged {
		return
	}
	b.weightsChanged = false
	apart := func(e *endpoint) bool { return e.weight != b.listed[0].weight }
	none := func(e *endpoint) bool { return !(e.weight > 0 && e.weight <= maxListedWeight) }
	b.weighted = slices.ContainsFunc(b.listed, apart) && !slices.ContainsFunc(b.listed, none)
}

// able is how many whole endpoints are in service. Rates are kept for each, so that the limit falls at once
// when some leave: what all could bear would choke the few that are left.
func (b *Balancer) usableCapacity(now time.Duration) float64 {
	n := float64(b.usableCount)
	for _, e := range b.inSlowStart {
		n += b.capacityShare(now, e)
	}
	return max(n, 1)
}

// settled tells whether the base latencies rest on enough to set limits by.
func (b *Balancer) hasBaseLatency() bool {
	return slices.ContainsFunc(b.classes, func(c class) bool { return c.windows > baseSkippedWindows })
}

// warmOdds is the sum of the odds of the subset's warm endpoints.
func (b *Balancer) warmSubsetWeight() float64 {
	sum := 0.0
	for _, e := range b.subset {
		if e.state == stateUsable {
			sum += b.drawWeight(e)
		}
	}
	return sum
}

// sharers is how many instances' subsets an endpoint is in, on average.
func (b *Balancer) instancesPerEndpoint() float64 {
	return float64(b.settings.Instances) * b.subsetSize / float64(max(len(b.listed), 1))
}

// warmRate is what warm endpoints are sent a second, for their odds; where none has been, what an endpoint of the subset
// would be, were all of it warm.
func (b *Balancer) warmSendRate(now time.Duration) float64 {
	if b.warmSends.peakRate > 0 {
		return b.warmSends.peak(now, b.rateWindow)
	}
	sum := 0.0
	for _, e := range b.subset {
		if e.state != stateDraining {
			sum += b.drawWeight(e)
		}
	}
	if sum == 0 {
		return 0
	}
	return b.demandRate.value(now, demandRateWindows*b.rateWindow) / sum
}

// speed is what the service times that endpoints of its kind report say of an endpoint, beside other kinds.
func (b *Balancer) kindSpeed(e *endpoint) float64 {
	sum, n := 0.0, 0.0
	for _, k := range b.kindServiceTime {
		if k.count > 0 {
			sum, n = sum+1/k.mean, n+1
		}
	}
	if e.kind >= len(b.kindServiceTime) || b.kindServiceTime[e.kind].count == 0 {
		return 1
	}
	return n / sum / b.kindServiceTime[e.kind].mean
}

// weight is an endpoint's listed weight where those tell endpoints apart, else the speed its kind reports.
func (b *Balancer) weight(e *endpoint) float64 {
	if b.weighted {
		return e.weight
	}
	return b.kindSpeed(e)
}

// scatter is an instance's place among all: numbers that follow each other lie far apart, in steps of the golden
// section. Instances of one hall are numbered in a row; when callers came to that hall, their subsets, side by
// side on the ring, filled up one part of a tier.
func ringPosition(ordinal, instances int) int {
	step := max(int(0.618034*float64(instances)), 1)
	for gcd(step, instances) != 1 {
		step++
	}
	return ordinal % instances * step % instances
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
