package decision

import "time"

// The constants below are all that is tuned, grouped by mechanism. A constant without a unit is a ratio of
// the quantity that its comment names. The times, capacities and limits that a site states are in Settings.
//
// The effect of half and of double the value is given where a run has measured it (docs/FLEET.md); where
// nothing is said it has not been measured.

// Endpoint selection: power of two choices (Mitzenmacher 2001), as the design page (DESIGN) asks for.
const (
	// drawCandidates is the number of distinct endpoints drawn for a pick. Source: DESIGN.
	drawCandidates = 2
)

// Subsets: each instance calls a part of a large tier, so that its own counts and answers are informative.
const (
	// callersPerEndpoint is the number of instances that should call one endpoint. Where more would, each
	// keeps to a subset. Measured (docs/FLEET.md): eight, in place of subsets sized by the own calls, 0.963
	// for 0.990 of fleet-flood without its flood.
	callersPerEndpoint = 3
	// minSubset is the least size of a subset, in endpoints: with one there is nothing to compare.
	minSubset = 2.0
	// subsetPerCall is the least number of endpoints in the subset for each call in flight. Without it an
	// instance with more callers than the others overloads its few endpoints, and the other instances that
	// call them. Measured (docs/FLEET.md): double, 0.992 for 0.990 in fleet-flood and 0.960 for 0.967 in the
	// fleet, with half as many connections again.
	subsetPerCall = 2.0
)

// Limit on calls in flight: the calls that are answered at base latency, and a queue at the endpoints. More
// calls would wait there instead of here, be answered late, and may push endpoints over.
const (
	// queuePerEndpoint is the length of that queue for each endpoint and tier from this one on, in calls.
	queuePerEndpoint = 0.75
	// maxQueueShare bounds the queue by a share of the calls at base latency.
	maxQueueShare = 0.8
	// slackShare bounds the queue by a share of the time from base latency to latency target; the rest is left
	// for calls that are slow by themselves.
	slackShare = 0.5
	// startCallsPerEndpoint is the least limit before base latencies are known, and minCallsPerEndpoint the
	// least from then on: calls for each endpoint that is this instance's share of the tier.
	startCallsPerEndpoint = 5.0
	minCallsPerEndpoint   = 1.2
	// limitSlack is the number of calls that any endpoint, and the tier, may have beyond its computed limit.
	// Measured (docs/FLEET.md): 3, 0.789 for 0.805 on ten overloaded days; 8, 0.979 for 0.967 on the calm day.
	limitSlack = 2.0
	// endpointLimitFactor is how much of the limit one endpoint may have, in even shares of it.
	endpointLimitFactor = 1.5
	// peakHoldWindows is the time constant with which a peak rate fades, in rate windows.
	peakHoldWindows = 5.0
	// demandRateWindows is the time over which the demand rate is averaged, in rate windows: an instance that is
	// rarely called has few requests to average over.
	demandRateWindows = 10
)

// Base and usual latency of a class: exponential averages over windows of answers. The base latency follows
// the lowest windows and stands for little load; the usual latency is what latency pressure is measured
// against.
const (
	// baseWindowAnswers is the least number of answers in a window; a window also lasts one rate window at
	// least.
	baseWindowAnswers = 16
	// baseSkippedWindows is the number of first windows that are not counted.
	baseSkippedWindows = 1
	// baseFallWeight is the weight of a window that is lower than the average.
	baseFallWeight = 0.3
	// baseRiseWeight and usualRiseWeight are the weights of a higher window in the base and the usual latency:
	// small, so that an overload is not learned as normal.
	baseRiseWeight  = 0.02
	usualRiseWeight = 0.08
)

// Running means of latency and service time.
const (
	// classMeanWeight is the weight of one answer in the mean latency of its class.
	classMeanWeight = 0.05
	// kindMeanWeight is the weight of one answer in the latency ratio of a machine kind, and
	// endpointMeanWeight in that of an endpoint.
	kindMeanWeight     = 0.02
	endpointMeanWeight = 0.1
	// reportMeanWeight is the weight of one load report in the service time of an endpoint.
	reportMeanWeight = 0.3
	// kindPriorAnswers is how many answers the machine kind's latency ratio counts for in that of an endpoint.
	kindPriorAnswers = 4.0
)

// Tenant quotas: a token bucket for each tenant (docs/FLEET.md, docs/BUDGETS.md).
const (
	// tenantBurstBase is the capacity of a bucket at any rate, in requests, and tenantStartTokens its first
	// level: an instance that starts on an overloaded tier must not admit a full burst before it knows of the
	// overload.
	tenantBurstBase   = 8.0
	tenantStartTokens = 2.0
	// tenantBurstSeconds is the capacity beyond that, in seconds of the tenant's rate.
	tenantBurstSeconds = 4.0
	// evenShareTolerance is the ratio of the answer rate to the sum of quotas above which an instance serves
	// more than an even part of the tenants' requests. Measured (docs/FLEET.md): no difference from 1.17 to
	// 1.35; at 1.0 two of four sites lose 0.02 to 0.03 and one gains as much.
	evenShareTolerance = 1.17
	// quotaRelaxation is the growth of the quotas for each unit of that ratio beyond the tolerance.
	quotaRelaxation = 1.5
)

// Latency pressure: the latency of calls over what it should at most be on average. Above 1, instances that
// outnumber the endpoints pace their sends: with a call or two in flight each, no limit on their number
// holds anything back. Measured (docs/FLEET.md): without pacing, those within their quotas get 0.937 for
// 0.916 in a flood, but a storm before endpoints that fail under load is served 0.319 for 0.484.
const (
	// pressureUsualFactor is the latency that counts as pressure 1, in usual latencies, and
	// pressureTargetShare the same as a share of the latency target; the lower one counts.
	pressureUsualFactor = 1.5
	pressureTargetShare = 0.55
	// pressureMaxWeight is the greatest weight of one answer, and pressureTargets the number of latency targets
	// over which all answers weigh alike.
	pressureMaxWeight = 0.12
	pressureTargets   = 2.0
	// pressureMaxSample bounds what one call contributes.
	pressureMaxSample = 4.0
	// pacingGain is the share of the send rate that one second at pressure 2 takes off.
	pacingGain = 1.5
	// pacingStartFactor is the send rate at which pacing begins, and pacingMinFactor the least of that: in peak
	// rates of requests and in start rates.
	pacingStartFactor = 1.5
	pacingMinFactor   = 0.15
	// pacingBurst is the number of calls that may be sent at once, where half a second of the rate is less.
	pacingBurst = 2.0
	// overQuotaPressure is the pressure from which requests beyond a quota are rejected where instances
	// outnumber the endpoints: before calls are paced.
	overQuotaPressure = 0.7
)

// Silence: an endpoint that answers nothing while others do.
const (
	// silenceSuspectMeans is the age of its oldest call, in mean latencies, from which an endpoint is passed
	// over.
	silenceSuspectMeans = 3.0
	// silenceEjectTails is the age, in tail latencies, that ejects it for one call, and silenceEjectCalls the
	// number of calls that eject it at silenceSuspectMeans.
	silenceEjectTails = 4.0
	silenceEjectCalls = 2
	// silenceOtherAnswers is the number of answers by other endpoints in that time without which the cause is
	// not taken to be the endpoint's own.
	silenceOtherAnswers = 4
)

// Tail latency of a class: a running estimate of the 99th percentile, in mean latencies (stochastic
// approximation).
const (
	// tailStartRatio is the first estimate, tailQuantile the share of answers beyond it, and tailStep how far
	// one answer moves it.
	tailStartRatio = 6.0
	tailQuantile   = 0.01
	tailStep       = 0.3
)

// Overdue calls: calls that later ones overtook and that will hardly be answered. Ages are in tail latencies.
const (
	// overdueStuckTails is the age from which such a call leaves room for others in the limit.
	overdueStuckTails = 0.6
	// overdueLostTails is the age from which it counts as lost by its endpoint.
	overdueLostTails = 1.1
	// lossRateWeight is the weight of one call in an endpoint's loss rate, and lossRateThreshold the rate above
	// which lost calls are sent again: two in a row pass it, a single slow one does not.
	lossRateWeight    = 0.05
	lossRateThreshold = 0.12
	// overdueMissingTails is the age from which it counts as missing, missingShareWeight the weight of one lost
	// call in the tier's share of those that go missing, and missingShareThreshold the share above which missing
	// calls are sent again. At first the share is taken to be missingShareStart.
	overdueMissingTails   = 1.5
	missingShareWeight    = 0.3
	missingShareThreshold = 0.6
	missingShareStart     = 0.5
)

// Outlier ejection by errors: an endpoint is compared with the tier, as the tier below may be the cause.
const (
	// errorRateWeight is the weight of one answer in an endpoint's error rate: two errors in a row pass
	// ejectErrorRate.
	errorRateWeight = 0.3
	// invalidResponseWeight is the weight of a response that cannot be used: any endpoint sends some, eight in a
	// row eject.
	invalidResponseWeight = 0.08
	// fleetErrorWeight is the weight of one answer in the tier's error rate.
	fleetErrorWeight = 0.02
	// ejectErrorRate is the error rate that ejects, and ejectFleetRatio how many times the tier's it must also
	// be.
	ejectErrorRate  = 0.45
	ejectFleetRatio = 3.0
	// maxEjectedShare bounds the share of the listed endpoints that may be ejected for errors or silence.
	maxEjectedShare = 0.5
	// trialDelayInConnectTimeouts is the time from an ejection to the first trial call, in connect time-outs; it
	// doubles with each trial that fails.
	trialDelayInConnectTimeouts = 4.0
	// evidenceMaxAge is how long a good answer is evidence of health for other instances.
	evidenceMaxAge = 5 * time.Second
)

// Slow start of endpoints that have just started or come back (Settings.WarmUp and others; DESIGN).
const (
	// returnedWarmShare is the share of WarmUp that an endpoint skips where nothing showed a restart.
	returnedWarmShare = 0.75
	// slowStartHeadroom is the share of OverloadMultiple that bounds the send rate to a cold endpoint,
	// relative to its share of what warm ones are sent.
	slowStartHeadroom = 0.7
)

// Retry budget: a token bucket that answered calls fill.
const (
	// retryTokensPerAnswer is the number of further attempts that one answer earns.
	retryTokensPerAnswer = 0.2
	// maxRetryTokens is the capacity of the bucket, and the most attempts of one request where the site states
	// no limit.
	maxRetryTokens = 10.0
)

// Queue of requests that wait here, and when rejected clients should return.
const (
	// queueSecondsMax is the capacity of the queue, in seconds of the answer rate, and queueSecondsMaxHidden the
	// same where retries by clients do not show how long the client has waited.
	queueSecondsMax       = 2.0
	queueSecondsMaxHidden = 0.5
	// sendSlackMeans is the time that must be left until the latency target when a call is sent, in mean
	// latencies.
	sendSlackMeans = 1.8
	// classWindowRequests is the number of requests over which a class's share of answers in time is remembered,
	// and classMinRequests the number from which that share counts.
	classWindowRequests = 100
	classMinRequests    = 5
	// minRetryAfterWindows is the least time to wait that a rejected client is told, in rate windows.
	minRetryAfterWindows = 0.25
	// successorStartSeconds is the time from the end of the only instance until the next one serves, in seconds.
	successorStartSeconds = 1.5
	// minIdleCallerConns is the number of idle connections of callers that the only instance keeps while it
	// drains.
	minIdleCallerConns = 3
)

// Retries by clients.
const (
	// retryElapsedWeight is the weight of one retry in the mean time that clients had waited before it.
	retryElapsedWeight = 0.05
	// firstAttemptShare is the share of the longest remaining time seen below which a request is taken to be a
	// retry.
	firstAttemptShare = 0.97
)

// Endpoint list.
const (
	// fetchIntervalShare is the interval between fetches of the list after broken connections, as a share of
	// DiscoveryInterval (or WarmUp).
	fetchIntervalShare = 0.5
	// watchBackoffShare is the first pause before a watch, as a share of DiscoveryInterval, and
	// watchBackoffMaxSeconds the longest: with a call that hung before and a slow one after, under the 6 s that
	// discovery has.
	watchBackoffShare      = 0.05
	watchBackoffMaxSeconds = 1.8
	// maxDepartedEndpoints is the number of endpoints that are remembered after they have left the list, beside
	// twice the number listed.
	maxDepartedEndpoints = 64
)

// tickQuanta is the interval at which queued and overdue calls are looked at, in quanta of Settings.Quantum.
const tickQuanta = 4

// maxListedWeight is more than any endpoint weight can be; a list with a greater one, or with one that is not
// positive, is taken to state no weights.
const maxListedWeight = 1e6

// maxSnapshotEndpoints bounds the endpoints whose statistics a snapshot has; a successor learns the others.
const maxSnapshotEndpoints = 512
