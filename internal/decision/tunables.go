package decision

import "time"

// The constants below tune the algorithms of the package, grouped by mechanism. A constant without a unit is
// a ratio to the quantity that its comment names. Times, capacities and limits that depend on the site are in
// Settings. A window, or rate window, is Settings.OverloadWindow, or one second if that is not set.

// Endpoint selection by the power of two choices (Mitzenmacher 2001).
const (
	// drawCandidates is the number of distinct endpoints drawn at random for one selection.
	drawCandidates = 2
)

// Subsets: each instance calls only a part of a large tier, so that it gets enough answers from each endpoint
// to judge it.
const (
	// callersPerEndpoint is the number of instances that should call one endpoint. If more instances would call
	// it, each instance restricts its calls to a subset of the endpoints.
	callersPerEndpoint = 3
	// minSubset is the smallest size of a subset, in endpoints. With a single endpoint there would be nothing
	// to compare.
	minSubset = 2.0
	// subsetPerCall is the minimum number of endpoints in the subset for each call in flight. Without it, an
	// instance with more callers than the others overloads its few endpoints, and so affects the other
	// instances that call them. A larger value opens more connections.
	subsetPerCall = 2.0
)

// Limit on calls in flight. It allows as many calls as the tier answers at base latency, and a short queue at
// the endpoints. Calls beyond the limit wait in this instance. At the endpoints they would be answered late,
// and could overload them.
const (
	// queuePerEndpoint is the length of the queue at the endpoints, in calls for each endpoint and for each tier
	// from the called one on.
	queuePerEndpoint = 0.75
	// maxQueueShare bounds that queue to a share of the calls in flight at base latency.
	maxQueueShare = 0.8
	// slackShare bounds that queue to a share of the time between base latency and latency target. The rest of
	// that time is left for calls that are slow without any queue.
	slackShare = 0.5
	// startCallsPerEndpoint is the lower bound of the limit until base latencies are known, and
	// minCallsPerEndpoint the lower bound afterwards. The unit is calls per endpoint, divided by the number of
	// instances.
	startCallsPerEndpoint = 5.0
	minCallsPerEndpoint   = 1.2
	// limitSlack is the number of calls that an endpoint, and the tier, may have beyond the computed limit. A
	// larger value serves more requests on a lightly loaded tier and fewer on an overloaded one.
	limitSlack = 2.0
	// endpointLimitFactor bounds the calls at one endpoint, as a multiple of its even share of the limit.
	endpointLimitFactor = 1.5
	// peakHoldWindows is the time constant of the decay of a peak rate, in rate windows.
	peakHoldWindows = 5.0
	// demandRateWindows is the time constant of the average demand rate, in rate windows. It is long because an
	// instance that is rarely called has few requests to average over.
	demandRateWindows = 10
)

// Base and usual latency of a class: exponential averages over windows of answers. The base latency follows
// the lowest windows and estimates the latency at little load. Latency pressure is relative to the usual
// latency.
const (
	// baseWindowAnswers is the minimum number of answers in a window. A window also lasts at least one rate
	// window.
	baseWindowAnswers = 16
	// baseSkippedWindows is the number of windows after the start that are not counted.
	baseSkippedWindows = 1
	// baseFallWeight is the weight of a window with a lower latency than the average.
	baseFallWeight = 0.3
	// baseRiseWeight and usualRiseWeight are the weights of a window with a higher latency, in the base and in
	// the usual latency. They are small, so that the latencies of an overload are not learned as normal.
	baseRiseWeight  = 0.02
	usualRiseWeight = 0.08
)

// Running means of latency and service time.
const (
	// classMeanWeight is the weight of one answer in the mean latency of its class.
	classMeanWeight = 0.05
	// kindMeanWeight is the weight of one answer in the latency ratio of a machine kind, and
	// endpointMeanWeight its weight in the latency ratio of an endpoint.
	kindMeanWeight     = 0.02
	endpointMeanWeight = 0.1
	// reportMeanWeight is the weight of one load report in the service time of an endpoint.
	reportMeanWeight = 0.3
	// kindPriorAnswers is the weight of the machine kind's latency ratio in the ratio of an endpoint, in
	// answers.
	kindPriorAnswers = 4.0
)

// Tenant quotas: a token bucket for each tenant.
const (
	// tenantBurstBase is the capacity of a bucket at a rate of 0, in requests. tenantStartTokens is the initial
	// level: an instance that starts on an overloaded tier must not admit a full burst before it has detected
	// the overload.
	tenantBurstBase   = 8.0
	tenantStartTokens = 2.0
	// tenantBurstSeconds is the additional capacity of a bucket, in seconds of the tenant's rate.
	tenantBurstSeconds = 4.0
	// evenShareTolerance is the ratio of the answer rate to the sum of the quotas at this instance above which
	// the quotas are relaxed. Below it the instance counts as serving an even part of the tenants' requests.
	evenShareTolerance = 1.17
	// quotaRelaxation is the relative growth of the quotas per unit of that ratio beyond the tolerance.
	quotaRelaxation = 1.5
)

// Latency pressure: the latency of calls divided by the highest acceptable mean latency. Above 1, instances
// that outnumber the endpoints pace their sends. Each of them has only one or two calls in flight, so a limit
// on calls in flight cannot reduce the load. In a flood of one tenant, pacing costs the other tenants a few
// answers; without it, endpoints that fail under load serve clearly fewer requests during a surge.
const (
	// pressureUsualFactor is the latency at pressure 1 as a multiple of the usual latency, and
	// pressureTargetShare the same latency as a share of the latency target. The lower of the two counts.
	pressureUsualFactor = 1.5
	pressureTargetShare = 0.55
	// pressureMaxWeight is the largest weight of one answer. pressureTargets is the time constant of the
	// average in latency targets, where answers are frequent enough to stay below that weight.
	pressureMaxWeight = 0.12
	pressureTargets   = 2.0
	// pressureMaxSample bounds the pressure that one call contributes.
	pressureMaxSample = 4.0
	// pacingGain is the relative reduction of the send rate during one second at pressure 2.
	pacingGain = 1.5
	// pacingStartFactor is the send rate at which pacing begins, as a multiple of the peak rate of requests.
	// pacingMinFactor is the lowest send rate, as a share of that initial rate.
	pacingStartFactor = 1.5
	pacingMinFactor   = 0.15
	// pacingBurst is the number of calls that may be sent at once, if half a second of the send rate is less.
	pacingBurst = 2.0
	// overQuotaPressure is the pressure above which instances that outnumber the endpoints reject requests
	// beyond a quota. It is below 1, so that these requests are rejected before sends are paced.
	overQuotaPressure = 0.7
)

// Silence: an endpoint answers nothing while other endpoints answer.
const (
	// silenceSuspectMeans is the age of its oldest call, in mean latencies, above which a silent endpoint gets
	// no new calls.
	silenceSuspectMeans = 3.0
	// silenceEjectTails is the age of one unanswered call, in tail latencies, above which a silent endpoint is
	// ejected. It is also ejected when silenceEjectCalls calls are older than silenceSuspectMeans.
	silenceEjectTails = 4.0
	silenceEjectCalls = 2
	// silenceOtherAnswers is the number of answers that must have arrived since the call was sent. With fewer,
	// the silence may have a cause that all endpoints share.
	silenceOtherAnswers = 4
)

// Tail latency of a class: a running estimate of the 99th percentile by stochastic approximation. The unit is
// the mean latency of the class.
const (
	// tailStartRatio is the initial estimate, tailExceedance the share of answers that are slower than the tail
	// latency, and tailStep the increase of the estimate after one such answer. Each answer also lowers the
	// estimate by tailStep * tailExceedance.
	tailStartRatio = 6.0
	tailExceedance = 0.01
	tailStep       = 0.3
)

// Overdue calls: calls that later calls have overtaken and that will probably not be answered. Ages are in
// tail latencies.
const (
	// overdueStuckTails is the age above which an overtaken call no longer counts in the limit on calls in
	// flight.
	overdueStuckTails = 0.6
	// overdueLostTails is the age above which an overtaken call counts as lost by its endpoint.
	overdueLostTails = 1.1
	// lossRateWeight is the weight of one call in the loss rate of an endpoint. lossRateThreshold is the rate
	// above which lost calls are sent again. Two lost calls in a row exceed it; a single slow call does not.
	lossRateWeight    = 0.05
	lossRateThreshold = 0.12
	// overdueMissingTails is the age above which an overtaken call counts as missing.
	overdueMissingTails = 1.5
	// missingShareWeight is the weight of one call in the share of lost calls that go missing instead of being
	// answered late. missingShareThreshold is the share above which missing calls are sent again, and
	// missingShareStart the initial share.
	missingShareWeight    = 0.3
	missingShareThreshold = 0.6
	missingShareStart     = 0.5
)

// Outlier ejection for errors. An endpoint is compared with the tier, because errors that all endpoints
// return may come from the tier below.
const (
	// errorRateWeight is the weight of one answer in the error rate of an endpoint. Two errors in a row exceed
	// ejectErrorRate.
	errorRateWeight = 0.3
	// invalidResponseWeight is the weight of an invalid response in that rate. It is low because any endpoint
	// sends a few; eight in a row exceed ejectErrorRate.
	invalidResponseWeight = 0.08
	// fleetErrorWeight is the weight of one answer in the error rate of the tier.
	fleetErrorWeight = 0.02
	// ejectErrorRate is the error rate from which an endpoint is ejected. The rate must also be at least
	// ejectFleetRatio times the error rate of the tier.
	ejectErrorRate  = 0.45
	ejectFleetRatio = 3.0
	// maxEjectedShare is the largest share of the listed endpoints that may be ejected for errors or silence.
	maxEjectedShare = 0.5
	// trialDelayInConnectTimeouts is the time between an ejection and the first trial call, in connect
	// timeouts. The delay doubles with each failed trial call.
	trialDelayInConnectTimeouts = 4.0
	// evidenceMaxAge is how long an answer counts as evidence of a healthy endpoint for other instances.
	evidenceMaxAge = 5 * time.Second
)

// Slow start of endpoints that have just started or come back; see also Settings.WarmUp.
const (
	// returnedWarmShare is the share of WarmUp that an endpoint skips if nothing indicates that it restarted.
	returnedWarmShare = 0.75
	// slowStartHeadroom bounds the send rate to an endpoint in slow start, as a share of OverloadMultiple times
	// the rate that matches its present capacity.
	slowStartHeadroom = 0.7
)

// Retry budget: a token bucket that answered calls refill.
const (
	// retryTokensPerAnswer is the number of retries that one answered call adds to the budget.
	retryTokensPerAnswer = 0.2
	// maxRetryTokens is the capacity of the bucket. It also bounds the attempts of one request if the site sets
	// no limit.
	maxRetryTokens = 10.0
)

// Queue of requests in this instance, and the wait that refused clients are told.
const (
	// queueSecondsMax is the capacity of the queue, in seconds of the answer rate. queueSecondsMaxHidden is the
	// capacity if the retries of clients do not show how long the client has waited.
	queueSecondsMax       = 2.0
	queueSecondsMaxHidden = 0.5
	// sendSlackMeans is the time that must be left until the latency target when a call is sent, in mean
	// latencies.
	sendSlackMeans = 1.8
	// classWindowRequests is the number of requests of one class after which the counters of all classes are
	// halved. classMinRequests is the number of requests from which the on-time share of a class counts.
	classWindowRequests = 100
	classMinRequests    = 5
	// minRetryAfterWindows is the shortest wait that a refused client is told, in rate windows.
	minRetryAfterWindows = 0.25
	// successorStartSeconds is the time from the end of the only instance until its successor serves, in
	// seconds.
	successorStartSeconds = 1.5
	// minIdleCallerConns is the number of idle connections that the only instance keeps for its callers while it
	// drains.
	minIdleCallerConns = 3
)

// Retries by clients.
const (
	// retryElapsedWeight is the weight of one retry in the mean time that clients had waited before it.
	retryElapsedWeight = 0.05
	// firstAttemptShare is the share of the longest remaining time seen so far. A request with less remaining
	// time counts as a retry.
	firstAttemptShare = 0.97
)

// Endpoint list.
const (
	// fetchIntervalShare is the shortest interval between fetches of the list after broken connections, as a
	// share of DiscoveryInterval, or of WarmUp if there is none.
	fetchIntervalShare = 0.5
	// watchBackoffShare is the first pause before a watch, as a share of DiscoveryInterval.
	// watchBackoffMaxSeconds is the longest pause. A change must be known 6 s after discovery can be reached
	// again: a watch that hangs, this pause and a slow watch after it fit into that time.
	watchBackoffShare      = 0.05
	watchBackoffMaxSeconds = 1.8
	// maxDepartedEndpoints is the number of endpoints that are remembered after they have left the list, in
	// addition to twice the number of listed endpoints.
	maxDepartedEndpoints = 64
)

// tickQuanta is the interval between checks of queued and overdue calls, as a multiple of Settings.Quantum.
const tickQuanta = 4

// maxListedWeight is the largest plausible weight of an endpoint. If any weight of a list is larger, or is
// not positive, all weights of the list are ignored.
const maxListedWeight = 1e6

// maxSnapshotEndpoints bounds the number of endpoints in a snapshot; a successor learns the others by itself.
const maxSnapshotEndpoints = 512
