package decision_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"dykering/internal/decision"
)

// This file is built only for amd64: on processors with fused multiply-add the compiler may round
// differently, and one different rounding changes all later random draws.

// goldenEvent is one event of a goldenSimulation. Events with the same time run in the order in which they
// were added.
type goldenEvent struct {
	at    time.Duration
	order int
	do    func()
}

// goldenQueue is a heap of events.
type goldenQueue []goldenEvent

func (q goldenQueue) Len() int { return len(q) }
func (q goldenQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *goldenQueue) Push(x any)   { *q = append(*q, x.(goldenEvent)) }
func (q *goldenQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// goldenSimulation feeds one Balancer with random events from a fixed seed. It hashes every action
// of the Balancer together with its time.
type goldenSimulation struct {
	settings  decision.Settings
	rng       *rand.Rand
	now       time.Duration
	queue     goldenQueue
	added     int
	balancer  *decision.Balancer
	digest    hash.Hash64
	actions   int
	version   uint64
	endpoints []decision.Entry
	requests  map[decision.RequestID]*goldenRequest
}

// goldenRequest is a request with the state of its last attempt.
type goldenRequest struct {
	decision.Request
	attempts int
	to       decision.EndpointID // endpoint of the last attempt
	answered bool
	inFlight bool
}

// after schedules do after a delay.
func (sim *goldenSimulation) after(delay time.Duration, do func()) {
	sim.added++
	heap.Push(&sim.queue, goldenEvent{sim.now + delay, sim.added, do})
}

// record adds an action or a result of the Balancer to the digest. The format strings and the texts of Log
// are part of the digest, so their wording is fixed.
func (sim *goldenSimulation) record(format string, args ...any) {
	sim.actions++
	fmt.Fprintf(sim.digest, "%d ", sim.now)
	fmt.Fprintf(sim.digest, format+"\n", args...)
}

// randomBelow returns a random duration below limit.
func (sim *goldenSimulation) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(limit)))
}

func (sim *goldenSimulation) Send(
	id decision.RequestID, to decision.EndpointID, timeout, within time.Duration,
) {
	sim.record("send %s %d %d %d", id, to, timeout, within)
	r := sim.requests[id]
	attempt := r.attempts
	r.attempts++
	r.inFlight, r.to = true, to
	status := decision.OK
	if drawn := sim.rng.IntN(100); drawn < 12 {
		status = decision.Status(sim.rng.IntN(9))
	}
	elapsed := 2*time.Millisecond + sim.randomBelow(60*time.Millisecond)*time.Duration(1+to%3)
	if sim.rng.IntN(40) == 0 {
		elapsed += time.Second // overtaken by later calls
	}
	if timeout > 0 && elapsed > timeout {
		elapsed, status = timeout, decision.Timeout
	}
	if r.LongBody {
		sent := sim.randomBelow(elapsed)
		sim.after(sent, func() { sim.balancer.RequestSent(sim.now, id, r.Remaining) })
	}
	if status == decision.OK && sim.settings.Classes[r.Class].Streamed {
		sim.after(elapsed*9/10, func() { sim.balancer.ResponseStarted(sim.now, id, attempt, to) })
	}
	sim.after(elapsed, func() { sim.end(r, to, attempt, status, elapsed) })
}

// end reports the outcome of an attempt, unless a cancellation has already ended the attempt.
func (sim *goldenSimulation) end(
	r *goldenRequest, to decision.EndpointID, attempt int, status decision.Status, elapsed time.Duration,
) {
	if !r.inFlight || r.attempts != attempt+1 {
		return
	}
	r.inFlight = false
	final := r.answered || status == decision.OK
	r.answered = final
	var load *decision.Load
	if sim.rng.IntN(3) == 0 {
		load = &decision.Load{InFlight: 1, Queue: -1, Util: -1, Service: elapsed / 2}
	}
	sim.balancer.Outcome(sim.now, decision.Outcome{
		ID: r.ID, Endpoint: to, Attempt: attempt, Final: final, Elapsed: elapsed,
		Status: status, Load: load, NotReplayable: r.LongBody && sim.rng.IntN(2) == 0,
	})
}

func (sim *goldenSimulation) Refuse(id decision.RequestID, retryAfter time.Duration) {
	sim.record("refuse %s %d", id, retryAfter)
	sim.requests[id].answered = true
}

func (sim *goldenSimulation) Fail(id decision.RequestID) {
	sim.record("fail %s", id)
	sim.requests[id].answered = true
}

func (sim *goldenSimulation) Cancel(id decision.RequestID, attempt int) {
	sim.record("cancel %s %d", id, attempt)
	r := sim.requests[id]
	sim.after(time.Millisecond, func() {
		if r.attempts == attempt+1 && r.inFlight {
			sim.end(r, r.to, attempt, decision.Cancelled, 10*time.Millisecond)
		}
	})
}

func (sim *goldenSimulation) SetTimer(token uint64, after time.Duration) {
	sim.record("timer %d %d", token, after)
	owner := sim.balancer
	sim.after(after, func() {
		if owner == nil || owner == sim.balancer {
			sim.balancer.Timer(sim.now, token)
		}
	})
}

func (sim *goldenSimulation) Watch(on bool) {
	sim.record("watch %t", on)
	sim.after(5*time.Millisecond, func() { sim.reportList(sim.rng.IntN(2) == 0) })
}

func (sim *goldenSimulation) Fetch() {
	sim.record("fetch")
	sim.after(5*time.Millisecond, func() { sim.reportList(sim.rng.IntN(4) > 0) })
}

func (sim *goldenSimulation) Log(text string) { sim.record("log %s", text) }

// reportList reports the full list, or that the request for it has failed.
func (sim *goldenSimulation) reportList(ok bool) {
	l := decision.List{Kind: decision.FailedList}
	if ok {
		sim.version++
		l = decision.List{Kind: decision.FullList, Version: sim.version}
		for _, e := range sim.endpoints {
			if e.State != decision.Departed {
				l.Entries = append(l.Entries, e)
			}
		}
	}
	sim.balancer.Targets(sim.now, l)
}

// changeEndpoint changes the entry of one endpoint and reports it as a delta.
func (sim *goldenSimulation) changeEndpoint() {
	e := &sim.endpoints[sim.rng.IntN(len(sim.endpoints))]
	if e.State = decision.State(sim.rng.IntN(5) / 2 % 3); sim.rng.IntN(2) == 0 {
		e.State, e.Started = decision.Ready, sim.now
	}
	sim.version++
	sim.balancer.Targets(sim.now, decision.List{
		Kind: decision.DeltaList, Version: sim.version, Entries: []decision.Entry{*e},
	})
}

// submit submits requests one after another, with a random pause of the given mean.
func (sim *goldenSimulation) submit(number int, pause time.Duration) {
	s := sim.settings
	r := &goldenRequest{Request: decision.Request{
		ID:    decision.RequestID(fmt.Sprint("r", number)),
		Class: sim.rng.IntN(len(s.Classes)), Tenant: sim.rng.IntN(len(s.Tenants) + 1),
		Remaining: time.Second + sim.randomBelow(time.Second),
		IsRetry:   sim.rng.IntN(8) == 0, IdleConns: 8, LongBody: sim.rng.IntN(12) == 0,
	}}
	sim.requests[r.ID] = r
	sim.balancer.Request(sim.now, r.Request)
	if sim.rng.IntN(20) == 0 {
		sim.after(sim.randomBelow(200*time.Millisecond), func() {
			if !r.answered {
				r.answered = true
				sim.balancer.Abandoned(sim.now, r.ID)
			}
		})
	}
	sim.after(sim.randomBelow(2*pause), func() { sim.submit(number+1, pause) })
}

// updateFromFleet reports evidence of other instances and quota shares, once per second.
func (sim *goldenSimulation) updateFromFleet() {
	id := sim.endpoints[sim.rng.IntN(len(sim.endpoints))].Endpoint
	ejections := []decision.PeerEjection{{Endpoint: id, Age: sim.randomBelow(time.Second)}}
	sim.record("heeded %d", sim.balancer.ApplyPeerEjections(sim.now, ejections))
	sim.record("evidence %v", sim.balancer.Evidence(sim.now, []decision.EndpointID{1, 2, 3}))
	sim.record("uses %v", sim.balancer.Usage())
	rates := make([]float64, len(sim.settings.Tenants))
	for i := range rates {
		rates[i] = 20 * sim.rng.Float64()
	}
	sim.balancer.SetQuotaShares(sim.now, decision.QuotaShares{
		TenantRates: rates, TenantFallbackRates: rates, RetryRate: 10*sim.rng.Float64() - 2,
		RetryFallbackRate: 1, Until: sim.now + time.Second,
	})
	sim.after(time.Second, sim.updateFromFleet)
}

// replaceBalancer replaces the Balancer by a successor that restores its snapshot. Calls in flight are
// dropped.
func (sim *goldenSimulation) replaceBalancer(t *testing.T, seed uint64) {
	t.Helper()
	snapshot, calls := sim.balancer.Snapshot(sim.now), sim.balancer.InFlight()
	text, err := json.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	sim.record("learnt %s %v", text, calls)
	for _, r := range sim.requests {
		r.answered, r.inFlight = true, false
	}
	previous := sim.balancer
	sim.newBalancer(t, seed)
	if err := sim.balancer.Restore(sim.now, snapshot); err != nil || previous == sim.balancer {
		t.Fatal(err)
	}
	sim.balancer.SetPredecessorCalls(sim.now, calls, sim.now+500*time.Millisecond)
}

// newBalancer creates a Balancer and reports the list of all endpoints to it.
func (sim *goldenSimulation) newBalancer(t *testing.T, seed uint64) {
	t.Helper()
	b, err := decision.New(sim.settings, seed, sim)
	if err != nil {
		t.Fatal(err)
	}
	sim.balancer = b
	sim.version++
	b.Targets(sim.now, decision.List{Kind: decision.CachedList, Version: sim.version, Entries: sim.endpoints})
}

// goldenSettings returns settings with a class for each effect, a streamed class and two tenants.
func goldenSettings(instances, stage int) decision.Settings {
	c := decision.Class{LatencyTarget: 300 * time.Millisecond, Deadline: 2 * time.Second, Value: 1}
	read, keyed, unsafe, stream := c, c, c, c
	read.Name, read.Effect, read.LateValue = "read", decision.Safe, 0.5
	keyed.Name, keyed.Effect = "keyed", decision.Keyed
	keyed.Scope, keyed.Window = decision.ScopeCell, time.Second
	unsafe.Name, unsafe.Effect, unsafe.Value = "unsafe", decision.Unsafe, 3
	stream.Name, stream.Effect, stream.Streamed = "stream", decision.Safe, true
	return decision.Settings{
		Instances: instances, Ordinal: instances / 2, Stage: stage, Tiers: 2,
		Quantum: time.Millisecond, GoalTotal: 0.7, GoalWorstClass: 0.3, MayCancel: true, MaxAttempts: 4,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: 100 * time.Millisecond, DiscoveryInterval: 5 * time.Second,
		ClientsMarkRetries: true, ColdCapacity: 0.2, WarmUp: 5 * time.Second,
		OverloadMultiple: 3, OverloadWindow: time.Second,
		Classes: []decision.Class{read, keyed, unsafe, stream},
		Tenants: []decision.Tenant{{Name: "a", QuotaPerS: 20}, {Name: "b", QuotaPerS: 60}},
	}
}

// The actions for fixed seeds have the digests below. A change that must not affect decisions leaves the
// digests unchanged; a change of a decision replaces them.
func TestActionsForFixedSeedsAreUnchanged(t *testing.T) {
	for _, c := range []struct {
		name      string
		instances int
		stage     int
		endpoints int
		pause     time.Duration
		configure func(*decision.Settings)
		digest    string
	}{
		{
			"single instance, frequent requests", 1, 0, 6, 3 * time.Millisecond,
			func(*decision.Settings) {}, "11917 actions, 3cf738fa05071f3e",
		},
		{
			"one of many instances, rare requests", 24, 0, 12, 20 * time.Millisecond,
			func(*decision.Settings) {}, "5918 actions, 49106024cf026ca0",
		},
		{
			"second tier without cancellation", 3, 1, 8, 4 * time.Millisecond,
			func(s *decision.Settings) { s.MayCancel = false }, "10290 actions, e0c4abca9a166b90",
		},
		{
			"pull discovery", 2, 0, 8, 5 * time.Millisecond,
			func(s *decision.Settings) { s.PullDiscovery, s.ValueByWork = true, true },
			"9200 actions, 52d6b388c1ca9827",
		},
		{
			"more instances than endpoints, paced sends", 40, 0, 8, 8 * time.Millisecond,
			func(s *decision.Settings) { s.ClientsMarkRetries = false }, "7639 actions, 84c76231e65ecbaf",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := &goldenSimulation{
				settings: goldenSettings(c.instances, c.stage), rng: rand.New(rand.NewPCG(7, 11)),
				now: time.Hour, digest: fnv.New64a(), requests: map[decision.RequestID]*goldenRequest{},
			}
			c.configure(&sim.settings)
			for i := range c.endpoints {
				sim.endpoints = append(sim.endpoints, decision.Entry{
					Endpoint: decision.EndpointID(i + 1), Zone: i % 2, Kind: i % 3,
					Cell: i / 2, Weight: 1 + float64(i%min(c.instances, 3)),
				})
			}
			sim.newBalancer(t, 1)
			sim.submit(1, c.pause)
			for i := range 12 {
				sim.after(time.Duration(i)*1500*time.Millisecond, sim.changeEndpoint)
			}
			sim.after(2*time.Second, sim.updateFromFleet)
			sim.after(12*time.Second, func() { sim.replaceBalancer(t, 2) })
			sim.after(18*time.Second, func() { sim.balancer.Drain(sim.now, sim.now+time.Second, c.instances == 2) })
			for end := sim.now + 20*time.Second; sim.queue[0].at < end; {
				e := heap.Pop(&sim.queue).(goldenEvent)
				sim.now = e.at
				e.do()
			}
			if got := fmt.Sprintf("%d actions, %016x", sim.actions, sim.digest.Sum64()); got != c.digest {
				t.Errorf("got %q, want %q", got, c.digest)
			}
		})
	}
}
