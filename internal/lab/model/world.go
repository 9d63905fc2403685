package model

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
)

const (
	// Origin is the time at which a clock starts. It is well above 0, since a start time of 0 means that
	// a server started long ago.
	Origin = 24 * time.Hour
	// Grace is the time before a client's deadline at which an instance should send the answer. It is
	// also the delay after the deadline with which an answer still counts as in time.
	Grace = 20 * time.Millisecond
	// maxHeldSlack is the largest slack with which the checker can distinguish a refusal that was held
	// until the deadline from a late answer.
	maxHeldSlack = 20 * time.Millisecond
	// settleTime is the time for which a run continues after the deadline of its last request.
	settleTime = time.Second
	// serversPerCell is the number of servers in a cell.
	serversPerCell = 2
	// overloadDowntime is the time for which a server is down after an overload during its warm-up.
	overloadDowntime = 3 * time.Second
)

// Outcomes of a request or an operation. Result files and histories of violations contain the values.
const (
	// Served means that the client received a successful answer.
	Served = "served"
	// Refused means that the request has certainly not run, so a retry is safe.
	Refused = "refused"
	// Failed means that the request may have run.
	Failed = "failed"
	// Unreachable means that no instance accepted the connection.
	Unreachable = "unheard"
	// timedOut means that the requester received no answer before its deadline.
	timedOut = "timed out"
)

// Brokers carry requests to servers. The clock's goroutine calls all of their methods.
type Brokers interface {
	// Accept handles a request that arrives at its instance. It completes the request exactly once,
	// unless the request is abandoned.
	Accept(request *Request)
	// Abandon reports that the requester no longer waits for a request.
	Abandon(request *Request)
	// UpdateList delivers an update of the endpoint list to an instance.
	UpdateList(in *Instance, list decision.List)
	// Kill ends the process of an instance immediately and starts a new one after a duration.
	Kill(in *Instance, duration time.Duration)
	// Handover replaces the process of an instance by a successor that takes over from it.
	Handover(in *Instance)
	// InjectFault applies any other kind of fault to an instance: stop, stall, away, reload, stale or again.
	InjectFault(in *Instance, kind string, duration time.Duration)
}

// Sockets are the real sockets of the servers, for an engine that has them.
type Sockets interface {
	// ServerStarted makes the socket of a server accept connections.
	ServerStarted(s *Server)
	// ServerStopped ends the socket of a server with its connections.
	ServerStopped(s *Server)
	// SetConnectionFault sets the fault on a server's connections and its size in bytes. The fault "none"
	// ends an earlier one.
	SetConnectionFault(s *Server, fault string, bytes int)
	// ResetConnections resets all open connections of a server.
	ResetConnections(s *Server)
	// PartitionsChanged reports that the partitions have changed; see World.IsPartitioned.
	PartitionsChanged()
}

// Requester receives the outcome of a request: a client, or a server that calls the next tier.
type Requester interface {
	Complete(request *Request, outcome string, retryAfter time.Duration)
}

// Request is one request to an instance. Each retry of a client is a separate request with the same
// origin.
type Request struct {
	ID decision.RequestID
	// Origin identifies the operation that the request belongs to.
	Origin string
	// Class and Team are indexes of the scenario's classes and teams.
	Class int
	Team  int
	// Work is the server's work for the request, in seconds of a core of speed 1.
	Work     float64
	Instance *Instance
	// Deadline is the time at which the requester stops waiting for the answer.
	Deadline time.Duration
	// IsRetry is set if the client marks the request as a retry.
	IsRetry bool
	// Completed is set once the requester has an outcome or no longer waits for one.
	Completed bool
	Requester Requester
	// operation is set for the request of a client.
	operation *operation
	// call is set for the request of a server.
	call *call
}

// Tier is a tier of servers, and of the instances in front of them.
type Tier struct {
	Index     int
	Instances []*Instance
	Servers   []*Server
	// downstream contains the scenario's settings of the tier; nil for the first tier.
	downstream *scenario.DownstreamTier
}

// Instance is an instance of the broker, as far as the world models it.
type Instance struct {
	// Index is the index among the instances of all tiers.
	Index int
	// Ordinal is the index among the instances of the tier.
	Ordinal int
	Tier    *Tier
	// partitions is a bit set of the partitions that separate the instance from servers with the same bit.
	partitions uint64
	// watchEpoch counts the broken watches of discovery. Updates of an earlier watch are dropped.
	watchEpoch int
	// lastUpdateAt is the arrival time of the last scheduled update.
	lastUpdateAt time.Duration
}

// World is the state of one run. It belongs to the goroutine of its clock.
type World struct {
	Clock
	Scenario *scenario.Scenario
	Tiers    []*Tier
	// Instances are the instances of all tiers.
	Instances []*Instance
	// Servers are the servers of all tiers. The EndpointID of a server is its index plus one.
	Servers []*Server
	Checker *rules.Checker
	Result  *Result

	seed            uint64
	brokers         Brokers
	sockets         Sockets
	callerRandom    *rand.Rand
	networkRandom   *rand.Rand
	discoveryRandom *rand.Rand
	// rateFactor multiplies the base rate; a burst sets it.
	rateFactor float64
	// hotOrder contains the indexes of the first tier's instances, hot ones first.
	hotOrder []int
	// misbehaviorShares is the share of requests with a fault of the client, by the kind of the fault.
	misbehaviorShares map[string]float64
	// floodShares is, for each team, the load that it offers beyond its share, as a multiple of the share.
	floodShares []float64
	// discoveryPausedUntil is the time before which discovery delivers no update.
	discoveryPausedUntil time.Duration
	// discoveryIdleAt is the time at which discovery has sent all pending updates at its limited rate.
	discoveryIdleAt time.Duration
	listVersion     uint64
	openOperations  int
	operationCount  int
}

// Stream returns an independent random stream for one component, so that an additional component does not
// change the draws of any other. The results of a seed depend on the names of the streams.
func Stream(seed uint64, name string, i int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, name)
	return rand.New(rand.NewPCG(seed^h.Sum64(), uint64(i)))
}

// New creates the world of a scenario and a seed. Sockets may be nil. Slack is added to the time limits of
// the checker, for an engine that observes events late.
func New(s *scenario.Scenario, seed uint64, c Clock, b Brokers, sockets Sockets, slack time.Duration) *World {
	w := &World{
		Clock: c, Scenario: s, seed: seed, brokers: b, sockets: sockets, callerRandom: Stream(seed, "callers", 0),
		networkRandom: Stream(seed, "network", 0), discoveryRandom: Stream(seed, "discovery", 0), rateFactor: 1,
		misbehaviorShares: map[string]float64{}, floodShares: make([]float64, len(s.Teams)), listVersion: 1,
	}
	w.Checker = rules.New(rules.Settings{
		Grace: Grace + slack, DrainGrace: time.Duration(s.Servers.DrainGrace) + slack,
		MaxAttempts: s.Broker.MaxAttempts, CheckHeld: slack <= maxHeldSlack,
	})
	w.Result = newResult(s, seed)
	w.addTier(s.Broker.Instances, s.Servers.Count, -1, nil)
	for i := range s.DownstreamTiers {
		b := &s.DownstreamTiers[i]
		w.addTier(b.Instances, b.Servers, s.KindIndex(b.Kind), b)
	}
	return w
}

// addTier adds a tier. Kind is the index of the kind of its servers. If it is negative, the kinds are drawn
// by their shares.
func (w *World) addTier(instances, servers, kind int, below *scenario.DownstreamTier) {
	t := &Tier{Index: len(w.Tiers), downstream: below}
	w.Tiers = append(w.Tiers, t)
	for i := range instances {
		in := &Instance{Index: len(w.Instances), Ordinal: i, Tier: t}
		t.Instances = append(t.Instances, in)
		w.Instances = append(w.Instances, in)
	}
	for range servers {
		w.addServer(t, kind)
	}
	for _, in := range t.Instances {
		for _, s := range t.Servers {
			w.Checker.EndpointListed(w.Now(), in.Index, s.Index, true)
		}
	}
}

// Seed returns the random seed of an instance.
func (w *World) Seed(in *Instance) uint64 {
	return Stream(w.seed, fmt.Sprint("instance", in.Tier.Index), in.Ordinal).Uint64()
}

// Start schedules the arrivals and faults and returns the time at which the run ends. The brokers must be
// ready before.
func (w *World) Start() (end time.Duration) {
	for i, t := range w.Scenario.InjectedFaults {
		w.scheduleFault(t, i, Stream(w.seed, "trouble", i))
	}
	for _, s := range w.Servers {
		s.schedulePauses()
	}
	w.scheduleArrival(w.Scenario.Callers.Rate.Draw(Stream(w.seed, "rate", 0)))
	last := time.Duration(0)
	for _, c := range w.Scenario.Classes {
		last = max(last, time.Duration(c.Deadline))
	}
	return Origin + time.Duration(w.Scenario.Duration) + last + settleTime
}

// IsFinished reports whether clients create no more operations and none is open.
func (w *World) IsFinished() bool {
	return w.openOperations == 0 && w.Now() > Origin+time.Duration(w.Scenario.Duration)
}

// Finish ends the run and returns its result.
func (w *World) Finish() *Result {
	w.Checker.Finish(w.Now())
	w.Result.summarize(w)
	return w.Result
}

// Settings returns the platform's settings for the decision module of an instance.
func (w *World) Settings(in *Instance) decision.Settings {
	b, v := w.Scenario.Broker, w.Scenario.Servers
	set := decision.Settings{
		Instances: len(in.Tier.Instances), Ordinal: in.Ordinal, Stage: in.Tier.Index, Tiers: len(w.Tiers),
		Quantum: time.Duration(b.Quantum), GoalTotal: 0.7, GoalWorstClass: 0.3, MayCancel: b.MayCancel,
		MaxAttempts: b.MaxAttempts, MaxRetryAfter: time.Duration(b.MaxRetryAfter), ConnectTimeout: time.Duration(b.ConnectTimeout),
		ClientsMarkRetries: w.Scenario.Callers.MarksRetries, ColdCapacity: v.ColdCapacity, WarmUp: time.Duration(v.WarmUp),
		OverloadMultiple: v.OverloadMultiple, OverloadWindow: time.Duration(v.OverloadWindow),
	}
	for _, c := range w.Scenario.Classes {
		set.Classes = append(set.Classes, decision.Class{
			Name: c.Name, LatencyTarget: time.Duration(c.LatencyTarget),
			Deadline: time.Duration(c.Deadline), Value: 1, Effect: decision.Effect(c.Effect), Scope: decision.Scope(c.Scope),
			Window: time.Duration(c.Window),
		})
	}
	for _, t := range w.Scenario.Teams {
		set.Tenants = append(set.Tenants, decision.Tenant{Name: t.Name, QuotaPerS: t.Quota})
	}
	return set
}

// Latency draws the transmission time of one message, including retransmissions.
func (w *World) Latency() time.Duration {
	network := w.Scenario.Network
	latency := network.Latency.Draw(w.networkRandom)
	for network.LossRate > 0 && w.networkRandom.Float64() < network.LossRate && latency < time.Minute {
		latency += time.Duration(network.RetransmitAfter)
	}
	return latency
}

// IsPartitioned reports whether a partition separates an instance from a server.
func (w *World) IsPartitioned(in *Instance, s *Server) bool { return in.partitions&s.partitions != 0 }

// MisbehaviorShare returns the present share of requests with a kind of client fault.
func (w *World) MisbehaviorShare(kind string) float64 { return w.misbehaviorShares[kind] }

// IsUnreachable reports whether messages between an instance and a server are lost.
func (w *World) IsUnreachable(in *Instance, s *Server) bool {
	return s.activeVanishes > 0 || in.partitions&s.partitions != 0
}

// Load returns the true load of a server, in attempts per core. Only the laboratory knows it.
func (w *World) Load(id decision.EndpointID) float64 {
	s := w.Servers[id-1]
	return float64(len(s.running)+len(s.queue)) / float64(s.kind.Cores)
}
