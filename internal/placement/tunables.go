package placement

import "time"

// The constants below were chosen, not derived from settings. Each block belongs to one mechanism. Where a figure is
// given, it is the change of the mean worth of a simulated day with its error, from docs/DECISIONS.md; "not measured"
// means that nobody has played the mechanism with half or double the value.

// Estimation of demand.
const (
	// rateWindow is the time constant of the average rate of requests. Shorter follows demand faster and evicts
	// more replicas of models with rare requests. Half and double: not measured.
	rateWindow = 3 * time.Second
	// burstRateWindow is the time constant of the rate that is compared with the average to detect growth. Half and
	// double: not measured.
	burstRateWindow = time.Second
	// maxGrowth bounds the factor by which a growing rate extrapolates the pressure. Half is 1, which is no
	// extrapolation: -0.010 (0.013) on site F and +0.005 (0.011) on G. Double: not measured.
	maxGrowth = 2
	// pressureWindow is the time constant of the average number of waiting requests. Half and double: not measured.
	pressureWindow = 500 * time.Millisecond
	// unplacedTTL is how long a model counts as missing after a request has found no endpoint with it. It has to cover the
	// time between two plans. Half and double: not measured.
	unplacedTTL = 2 * time.Second
	// inFlightTTL is how long a proxy's report of its requests in flight remains valid. Proxies report every 250 ms.
	// Half and double: not measured.
	inFlightTTL = time.Second
	// keyTTL is how long a key without requests is remembered, to order the eviction of idle models. Half and double: not
	// measured.
	keyTTL = 5 * time.Minute
	// maxKeys and maxReporters bound the memory of the table.
	maxKeys      = 65536
	maxReporters = 8192
)

// Number of replicas of a model. DECISIONS.md has no figures for half and double of any but the second replica.
const (
	// idleRate is the rate, in requests a second, up to which a model counts as not asked for.
	idleRate = 0.05
	// waitingPerReplica is the number of waiting requests for each replica above which another one is ordered.
	waitingPerReplica = 1.2
	// toleratedWaiting is subtracted from the waiting requests first: so many are normal with any number of replicas.
	toleratedWaiting = 1.2
	// inFlightPerReplica is the number of requests in flight for each replica above which another one is ordered.
	inFlightPerReplica = 24
	// secondReplicaRate is the rate, in requests a second, above which a model with one replica gets a second one where
	// memory is free or cheap. Without second replicas: -0.001 (0.014) on site F, +0.004 (0.009) on G.
	secondReplicaRate = 0.5
	// secondReplicaUrgency is the urgency of such a second replica, which no request waits for yet.
	secondReplicaUrgency = 0.6
	// firstReplicaUrgency is the least urgency of the first replica of a model.
	firstReplicaUrgency = 2
	// maxNewReplicas bounds the replicas that one plan adds to a model.
	maxNewReplicas = 3
	// maxOrders bounds the orders of one plan.
	maxOrders = 64
)

// Cost of an eviction, in units of urgency: waiting requests for each replica. Half and double: not measured.
const (
	// spareReplicaValue is the value of a replica of an idle model that has others. It decays with the time since the last
	// request.
	spareReplicaValue = 0.3
	// idleOnlyReplicaValue is what the only replica of an idle model is worth above spareValue. It decays likewise.
	idleOnlyReplicaValue = 1
	// onlyReplicaValue, times evictionMargin, is the least value of the only replica of a model that is asked for.
	onlyReplicaValue = 2
	// replicaValuePerRate is what each request a second adds to the value of a replica.
	replicaValuePerRate = 0.1
	// evictionMargin is how much more urgent a model must be than the one that it evicts, so that the two do not evict
	// each other in turn.
	evictionMargin = 2
	// idleLoadDivisor scales the load of an endpoint with free memory into a cost below that of any eviction: it only
	// orders such endpoints.
	idleLoadDivisor = 1000
)

// Adapters.
const (
	// inFlightPerAdapterReplica is the number of requests in flight for each replica of an adapter above which another one
	// is ordered. Lower (a second replica at 1.5 or 4 in flight): worth 0.634 and 0.635 on site F against 0.633, 0.679 and
	// 0.678 on G against 0.680. Double: not measured.
	inFlightPerAdapterReplica = 12
)

// Rate limit of the store. The limit itself and its window come from the settings (loads_per_s of the service,
// ceiling_window_s, origin_rate_overshoot).
const (
	// rateLimitSlack is the number of loads that the limit allows in any window beyond rate, window and overshoot. It is
	// part of the limit's definition.
	rateLimitSlack = 3
	// burstWindow and burstFactor bound how many loads start within a short time, in multiples of the average: a successor
	// assumes that its predecessor has used all of it since its last report. Half and double: not measured.
	burstWindow = time.Second
	burstFactor = 1.2
)
