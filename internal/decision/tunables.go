package decision

// Tunables. Times are ratios of settings or of what is observed.
const (
	drawCandidates = 2 // distinct endpoints drawn for a pick, as the design has it
	// callers is how many instances should call one endpoint; where more would, each keeps to a subset, in
	// which its own counts and answers tell it something.
	callersPerEndpoint = 3
	// subsetLeast is the fewest endpoints' worth of weight in a subset: with one, there is nothing to compare.
	minSubset = 2.0
	// ownCalls is how many endpoints a subset has at least for each call in flight. An instance to which more
	// callers come than to others would else fill up its few, and with them the other instances' that call them.
	subsetPerCall = 2.0

	// Limits: in flight there may be what is answered at base latency, and a queue: so many calls for each
	// endpoint and tier from here on, no more than a share of the first, and none that would use up the time to
	// the aim. More only waits there instead of here, is answered late, and may choke endpoints.
	queuePerEndpoint      = 0.75 // calls for each endpoint and tier
	maxQueueShare         = 0.8
	slackShare            = 0.5  // of the time from base latency to the aim; the rest is for slow calls
	startCallsPerEndpoint = 5.0  // the limit at first, for each endpoint that is this instance's share of the tier
	minCallsPerEndpoint   = 1.2  // and the least it may come to
	limitSlack            = 2.0  // calls that any endpoint, and the fleet, may hold beyond its share
	endpointLimitFactor   = 1.5  // of an even share of the limit, that one endpoint may hold
	sendSlackMeans        = 1.8  // mean latencies that must be left until the aim when a call is sent
	peakHoldWindows       = 5.0  // how long a peak rate is remembered, in rate windows
	baseWindowAnswers     = 16   // answers, and one rate window, averaged for one look at the base latency
	baseFallWeight        = 0.3  // how fast the base latency follows lower ones
	baseSkippedWindows    = 1    // first windows that do not count
	baseRiseWeight        = 0.02 // and higher ones: slowly, so that an overload is not taken for normal
	usualRiseWeight       = 0.08 // and how fast the usual latency, that strain is measured against, follows higher ones
	kindMeanWeight        = 0.02 // of one answer in the pace of a kind,
	endpointMeanWeight    = 0.1  // and of an endpoint
	reportMeanWeight      = 0.3  // of one report in an endpoint's service time
	kindPriorAnswers      = 4.0  // answers that the pace of its kind counts for
	classMeanWeight       = 0.05 // weight of one answer in a class's mean latency

	tenantBurstBase    = 8.0  // requests that chance may bring together, at any rate,
	tenantStartTokens  = 2.0  // and at the start
	evenShareTolerance = 1.17 // of all shares at an instance that is served where callers come evenly: all of capacity
	quotaRelaxation    = 1.5  // of the shares, over what is served beyond that
	tenantBurstSeconds = 4.0  // seconds of its share that a tenant may save up

	// Strain: what calls take, over what they should at most take on average. Above 1 calls are paced, for where
	// an instance has a call or two in flight a limit on their number holds nothing back.
	pressureUsualFactor = 1.5  // usual latencies that calls should take at most on average,
	pressureTargetShare = 0.55 // and part of the aim
	pressureMaxWeight   = 0.12 // of one answer at most,
	pressureTargets     = 2.0  // and all those of so many aims count alike
	pacingGain          = 1.5  // part of the pace that one second of a strain of 2 takes off
	pressureMaxSample   = 4.0  // the most that one call may tell
	pacingStartFactor   = 1.5  // of the peak rate of requests: the pace when nothing is held back
	pacingMinFactor     = 0.15 // and the least, of that
	overQuotaPressure   = 0.7  // strain at which what is beyond a share yields, before calls are paced
	pacingBurst         = 2.0  // calls that may be sent at once, or those of half a second

	// Silence: no answer of any kind since a call was sent, while others answer.
	silenceSuspectMeans   = 3.0 // mean latencies until an endpoint is passed over
	tailStartRatio        = 6.0 // first guess of the latency that one answer in a hundred passes, in means
	tailQuantile          = 0.01
	tailStep              = 0.3  // how far one answer moves that guess, in means
	silenceEjectTails     = 4.0  // such latencies until silence isolates on one call
	silenceEjectCalls     = 2    // so many calls isolate it at suspectAfter already
	silenceOtherAnswers   = 4    // answers of others in that time that make silence its own
	lossRateWeight        = 0.05 // of one call in an endpoint's share of lost ones: two in a row pass losesAt
	lossRateThreshold     = 0.12 // share of calls that an endpoint loses, not one that is slow now and then
	overdueStuckTails     = 0.6  // such latencies until a call that so many later ones overtook leaves room for others,
	overdueLostTails      = 1.1  // and until it counts as lost
	overdueMissingTails   = 1.5  // and until it is sent again, where most that count as lost go unanswered until then
	missingShareWeight    = 0.3  // of one call that counts as lost, in the fleet's share of those that do
	missingShareThreshold = 0.6  // that share from which on it is; at first it is taken for a half

	// Errors: an endpoint is judged against the fleet, for the tier below may be at fault.
	errorRateWeight           = 0.3  // of one answer in an endpoint's error share: two in a row pass ejectAt
	invalidResponseWeight     = 0.08 // of one that is of no use, as every endpoint sends some: eight in a row pass it
	fleetErrorWeight          = 0.02 // of one answer in the fleet's
	ejectErrorRate            = 0.45 // error share that ejects
	ejectFleetRatio           = 3.0  // and at least so many times the fleet's
	maxEjectedShare           = 0.5  // share of the list that errors and silence may isolate
	firstTrialConnectTimeouts = 4.0  // connect time-outs from isolation to the first trial call
	fetchIntervalShare        = 0.5  // of AskEvery (or Cold): the pace of fetching lists after broken connections
	watchBackoffShare         = 0.05 // of AskEvery: spread of the first Watch; it doubles with each failure,
	watchBackoffMaxSeconds    = 1.8  // up to so many seconds: with a hung call before, a slow one after, under 6
	returnedWarmShare         = 0.75 // share of Cold that an endpoint skips in its ramp if nothing showed a restart
	slowStartHeadroom         = 0.7  // of TipMultiple: a ramping endpoint's rate over its share of what warm ones are sent
	retryTokensPerAnswer      = 0.2  // further attempts earned by each answered call
	maxRetryTokens            = 10.0 // and how many may be saved up
	queueSecondsMax           = 2.0  // seconds of calls, at the present rate, that may be held,
	queueSecondsMaxHidden     = 0.5  // and where repeats do not show what they have spent
	retryElapsedWeight        = 0.05 // of one repeat in the mean time that repeats have spent
	firstAttemptShare         = 0.97 // of the longest time left seen: less tells of a repeat
	classWindowRequests       = 100  // requests of a class that its part served in time is remembered over
	classMinRequests          = 5    // and requests from which it counts
	minRetryAfterWindows      = 0.25 // rate windows that a refused client should wait, at least
	successorStartSeconds     = 1.5  // seconds from an instance's end until the next one serves in its place
	maxDepartedEndpoints      = 64   // endpoints that have gone and are still remembered, beside twice those listed
	minIdleCallerConns        = 3    // callers' connections that the only instance keeps idle once it is told to end
	tickQuanta                = 4    // quanta between looks at held and overdue calls
)
