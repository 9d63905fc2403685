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
	// Origin is the time at which a clock starts. It is well above 0, since a server's start of 0
	// stands for long ago.
	Origin = 24 * time.Hour
	// Grace is the time before a client's deadline at which its answer should be on its way, and by
	// which it may be late and still count as in time.
	Grace = 20 * time.Millisecond
	// maxHeldSlack is the most slack with which the checker can tell an answer that was held until its
	// deadline from a late one.
	maxHeldSlack = 20 * time.Millisecond
	// settleTime is how long a run goes on after the deadline of its last request.
	settleTime = time.Second
	// serversPerCell is the number of servers in a cell.
	serversPerCell = 2
	// overloadDowntime is how long a server is down that crashed by overload while warming up.
	overloadDowntime = 3 * time.Second
)

// Outcomes of a request or an operation.
const (
	// Served to timedOut are the outcomes of a request, or of an operation.
	Served = "served"
	// A retry is proven harmless: the request has not run.
	Refused = "refused"
	// The request may have run.
	Failed = "failed"
	// No instance accepted the connection.
	Unreachable = "unheard"
	timedOut    = "timed out"
)

// Brokers carry requests to servers. The clock's goroutine calls all of their methods.
type Brokers interface {
	// Accept takes a request that arrives at its instance. It completes the request once, unless that
	// is abandoned.
	Accept(t *Request)
	// Abandon reports that the requester does not wait for a request any more.
	Abandon(t *Request)
	// UpdateList delivers an update of the endpoint list to an instance.
	UpdateList(in *Instance, l decision.List)
	// Kill ends an instance at once and starts it again after a duration. Handover replaces it by a
	// successor process.
	Kill(in *Instance, lasts time.Duration)
	Handover(in *Instance)
	// InjectFault applies any other fault to an instance: stop, stall, away, reload, stale or again.
	InjectFault(in *Instance, what string, lasts time.Duration)
}

// Sockets are the real sockets of servers, where the engine has some.
type Sockets interface {
	ServerStarted(s *Server)
	ServerStopped(s *Server)
	// SetConnectionFault sets the fault on a server's connections and its size in bytes; "none" ends
	// it.
	SetConnectionFault(s *Server, how string, n int)
	ResetConnections(s *Server)
	// PartitionsChanged reports that the partitions have changed; see World.IsPartitioned.
	PartitionsChanged()
}

// Requester receives the outcome of a request: a client, or a server that calls the next tier.
type Requester interface {
	Complete(t *Request, how string, retryAfter time.Duration)
}

// Request is one request to an instance. Retries of a client are requests of their own with the
// same origin.
type Request struct {
	ID decision.RequestID
	// The operation that it belongs to.
	Origin string
	Class  int
	Team   int
	// Seconds of a core of speed 1.
	Work     float64
	Instance *Instance
	// The time at which the requester gives it up.
	Deadline time.Duration
	// It is marked as a retry.
	IsRetry bool
	// The requester has an outcome, or has given the request up.
	Completed bool
	Requester Requester
	// Set for the request of a client.
	operation *operation
	// Set for the request of a server.
	call *call
}

// Tier is a tier of servers, and of the instances in front of them.
type Tier struct {
	Index     int
	Instances []*Instance
	Servers   []*Server
	// The scenario's settings of the tier; nil for the first one.
	downstream *scenario.DownstreamTier
}

// Instance is an instance of the broker as the world knows it.
type Instance struct {
	// Its index among the instances of all tiers.
	Index int
	// Its index in its tier.
	Ordinal int
	Tier    *Tier
	// Bits of the partitions that it is on the near side of.
	partitions uint64
	// Number of broken watches of discovery. Updates of an earlier watch are dropped.
	watchEpoch int
	// When the last scheduled update arrives.
	lastUpdateAt time.Duration
}

// World is the state of one run. It belongs to the goroutine of its clock.
type World struct {
	Clock
	Scenario *scenario.Scenario
	Tiers    []*Tier
	// Of all tiers.
	Instances []*Instance
	// Of all tiers; the EndpointID of a server is its index plus one.
	Servers []*Server
	Checker *rules.Checker
	Result  *Result

	seed            uint64
	brokers         Brokers
	sockets         Sockets
	callerRandom    *rand.Rand
	networkRandom   *rand.Rand
	discoveryRandom *rand.Rand
	// Factor of the base rate, by bursts.
	rateFactor float64
	// Instances by load, hot ones first.
	hotOrder []int
	// The share of requests on which clients misbehave, by the kind of the fault.
	misbehaviorShares map[string]float64
	// For each team, the load it offers beyond its share, in shares.
	floodShares []float64
	// Discovery delivers nothing before this time.
	discoveryPausedUntil time.Duration
	// When discovery has sent all that it has to send, at its limited rate.
	discoveryIdleAt time.Duration
	listVersion     uint64
	openOperations  int
	operationCount  int
}

// Stream is an independent random stream for one drawing component, so that adding one component
// does not change the draws of any other. Names are part of the definition of a seed.
func Stream(seed uint64, name string, i int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, name)
	return rand.New(rand.NewPCG(seed^h.Sum64(), uint64(i)))
}

// New creates the world of a scenario and a seed. Sockets may be nil. Slack is added to the time
// limits of the checker where the engine observes events late.
func New(s *scenario.Scenario, seed uint64, c Clock, b Brokers, sockets Sockets, slack time.Duration) *World {
	w := &World{
		Clock: c, Scenario: s, seed: seed, brokers: b, sockets: sockets, callerRandom: Stream(seed, "callers", 0),
		networkRandom: Stream(seed, "network", 0), discoveryRandom: Stream(seed, "discovery", 0), rateFactor: 1, misbehaviorShares: map[string]float64{}, floodShares: make([]float64, len(s.Teams)), listVersion: 1,
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

// addTier adds a tier. Its servers are of the kind with an index, or drawn by the kinds' shares
// where that is below 0.
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

// Seed is the random seed of an instance.
func (w *World) Seed(in *Instance) uint64 {
	return Stream(w.seed, fmt.Sprint("instance", in.Tier.Index), in.Ordinal).Uint64()
}

// Start schedules arrivals and faults and returns the time at which the run ends. The brokers must
// be ready.
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

// IsFinished reports whether all clients have stopped and no operation is open.
func (w *World) IsFinished() bool {
	return w.openOperations == 0 && w.Now() > Origin+time.Duration(w.Scenario.Duration)
}

// Finish ends the run and returns its result.
func (w *World) Finish() *Result {
	w.Checker.Finish(w.Now())
	w.Result.summarize(w)
	return w.Result
}

// Settings are the platform's settings for the decision module of an instance.
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

// Latency draws the time that one message takes, retransmissions included.
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

// MisbehaviorShare is the share of requests on which clients misbehave now, for a kind of fault.
func (w *World) MisbehaviorShare(what string) float64 { return w.misbehaviorShares[what] }

// IsUnreachable reports whether no message passes between an instance and a server.
func (w *World) IsUnreachable(in *Instance, s *Server) bool {
	return s.activeVanishes > 0 || in.partitions&s.partitions != 0
}

// Load is the true load of a server, in attempts per core. Only the laboratory knows it.
func (w *World) Load(id decision.EndpointID) float64 {
	s := w.Servers[id-1]
	return float64(len(s.running)+len(s.queue)) / float64(s.kind.Cores)
}
