package placement

import "time"

// The constants of the placement algorithm, grouped by mechanism. None of them is configurable.

// Estimation of demand.
const (
	// rateWindow is the time constant of the average rate of requests. A shorter one follows the demand faster, but evicts
	// more replicas of models with rare requests.
	rateWindow = 3 * time.Second
	// burstRateWindow is the time constant of the rate that is compared with the average rate to detect growth.
	burstRateWindow = time.Second
	// maxGrowth bounds the factor by which a growing rate extrapolates the pressure. The value 1 would disable the
	// extrapolation.
	maxGrowth = 2
	// pressureWindow is the time constant of the average number of waiting requests.
	pressureWindow = 500 * time.Millisecond
	// unplacedTTL is how long a model counts as missing after a request has found no endpoint with it. It must be longer than
	// the time between two plans.
	unplacedTTL = 2 * time.Second
	// inFlightTTL is how long a proxy's report of its requests in flight remains valid. Proxies report every 250 ms.
	inFlightTTL = time.Second
	// keyTTL is how long a key without requests is remembered. The time of its last request determines the order in which
	// idle models are evicted.
	keyTTL = 5 * time.Minute
	// maxKeys and maxReporters bound the memory of a Demand.
	maxKeys      = 65536
	maxReporters = 8192
)

// Number of replicas of a model.
const (
	// idleRate is the rate, in requests per second, up to which a model or adapter counts as idle.
	idleRate = 0.05
	// waitingPerReplica is the number of waiting requests for each replica above which another replica is ordered.
	waitingPerReplica = 1.2
	// toleratedWaiting is subtracted from the number of waiting requests before it is compared with waitingPerReplica, since
	// about this many requests wait at any time, independent of the number of replicas.
	toleratedWaiting = 1.2
	// inFlightPerReplica is the number of requests in flight for each replica above which another replica is ordered.
	inFlightPerReplica = 24
	// secondReplicaRate is the rate, in requests per second, above which a model with one replica gets a second one, if memory
	// is free or cheap to free.
	secondReplicaRate = 0.5
	// secondReplicaUrgency is the urgency of such a second replica. It is a constant because no request waits for the replica
	// yet.
	secondReplicaUrgency = 0.6
	// firstReplicaUrgency is the minimum urgency of the first replica of a model.
	firstReplicaUrgency = 2
	// maxNewReplicas bounds the replicas of one model that one plan adds.
	maxNewReplicas = 3
	// maxOrders bounds the orders of one plan.
	maxOrders = 64
)

// Cost of an eviction, in units of urgency: waiting requests for each replica.
const (
	// spareReplicaValue is the value of a replica of an idle model that has other replicas. It falls with the time since the
	// last request.
	spareReplicaValue = 0.3
	// idleOnlyReplicaValue is added to spareReplicaValue for the only replica of an idle model. It falls with the time since
	// the last request, too.
	idleOnlyReplicaValue = 1
	// onlyReplicaValue, multiplied by evictionMargin, is the minimum value of the only replica of a model in demand.
	onlyReplicaValue = 2
	// replicaValuePerRate is the additional value of a replica for each request a second.
	replicaValuePerRate = 0.1
	// evictionMargin is the factor by which the urgency of a model must exceed that of the model that it evicts. It prevents
	// two models from evicting each other in turn.
	evictionMargin = 2
	// idleLoadDivisor scales the load of an endpoint with free memory to a cost below that of any eviction. This cost only
	// ranks the endpoints with free memory.
	idleLoadDivisor = 1000
)

// Adapters.
const (
	// inFlightPerAdapterReplica is the number of requests in flight for each replica of an adapter above which another replica
	// is ordered. A lower value only adds replicas, without more value from the answered requests.
	inFlightPerAdapterReplica = 12
)

// Rate limit of the store. The limit and its window come from the settings: loads_per_s of the service, ceiling_window_s and
// origin_rate_overshoot.
const (
	// rateLimitSlack is the number of loads that the store permits in any window in addition to rate * window * overshoot.
	// It is part of the definition of the limit.
	rateLimitSlack = 3
	// burstWindow and burstFactor bound the number of loads that start within a short time: burstFactor times the average
	// number in burstWindow. A new lease holder assumes that its predecessor has started this many since its last report.
	burstWindow = time.Second
	burstFactor = 1.2
)
