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
func (w *goldenSimulation) after(delay time.Duration, do func()) {
	w.added++
	heap.Push(&w.queue, goldenEvent{w.now + delay, w.added, do})
}

// record adds an action or a result of the Balancer to the digest. The format strings and the texts of Log
// are part of the digest, so their wording is fixed.
func (w *goldenSimulation) record(format string, args ...any) {
	w.actions++
	fmt.Fprintf(w.digest, "%d ", w.now)
	fmt.Fprintf(w.digest, format+"\n", args...)
}

// randomBelow returns a random duration below limit.
func (w *goldenSimulation) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(limit)))
}

func (w *goldenSimulation) Send(
	id decision.RequestID, to decision.EndpointID, timeout, within time.Duration,
) {
	w.record("send %s %d %d %d", id, to, timeout, within)
	r := w.requests[id]
	number := r.attempts
	r.attempts++
	r.inFlight, r.to = true, to
	status := decision.OK
	if drawn := w.rng.IntN(100); drawn < 12 {
		status = decision.Status(w.rng.IntN(9))
	}
	elapsed := 2*time.Millisecond + w.randomBelow(60*time.Millisecond)*time.Duration(1+to%3)
	if w.rng.IntN(40) == 0 {
		elapsed += time.Second // overtaken by later calls
	}
	if timeout > 0 && elapsed > timeout {
		elapsed, status = timeout, decision.Timeout
	}
	if r.LongBody {
		sent := w.randomBelow(elapsed)
		w.after(sent, func() { w.balancer.RequestSent(w.now, id, r.Remaining) })
	}
	if status == decision.OK && w.settings.Classes[r.Class].Streamed {
		w.after(elapsed*9/10, func() { w.balancer.ResponseStarted(w.now, id, number, to) })
	}
	w.after(elapsed, func() { w.end(r, to, number, status, elapsed) })
}

// end reports the outcome of an attempt, unless a cancellation has already ended the attempt.
func (w *goldenSimulation) end(
	r *goldenRequest, to decision.EndpointID, attempt int, status decision.Status, elapsed time.Duration,
) {
	if !r.inFlight || r.attempts != attempt+1 {
		return
	}
	r.inFlight = false
	final := r.answered || status == decision.OK
	r.answered = final
	var load *decision.Load
	if w.rng.IntN(3) == 0 {
		load = &decision.Load{InFlight: 1, Queue: -1, Util: -1, Service: elapsed / 2}
	}
	w.balancer.Outcome(w.now, decision.Outcome{
		ID: r.ID, Endpoint: to, Attempt: attempt, Final: final, Elapsed: elapsed,
		Status: status, Load: load, NotReplayable: r.LongBody && w.rng.IntN(2) == 0,
	})
}

func (w *goldenSimulation) Refuse(id decision.RequestID, retryAfter time.Duration) {
	w.record("refuse %s %d", id, retryAfter)
	w.requests[id].answered = true
}

func (w *goldenSimulation) Fail(id decision.RequestID) {
	w.record("fail %s", id)
	w.requests[id].answered = true
}

func (w *goldenSimulation) Cancel(id decision.RequestID, attempt int) {
	w.record("cancel %s %d", id, attempt)
	r := w.requests[id]
	w.after(time.Millisecond, func() {
		if r.attempts == attempt+1 && r.inFlight {
			w.end(r, r.to, attempt, decision.Cancelled, 10*time.Millisecond)
		}
	})
}

func (w *goldenSimulation) SetTimer(token uint64, after time.Duration) {
	w.record("timer %d %d", token, after)
	owner := w.balancer
	w.after(after, func() {
		if owner == nil || owner == w.balancer {
			w.balancer.Timer(w.now, token)
		}
	})
}

func (w *goldenSimulation) Watch(on bool) {
	w.record("watch %t", on)
	w.after(5*time.Millisecond, func() { w.reportList(w.rng.IntN(2) == 0) })
}

func (w *goldenSimulation) Fetch() {
	w.record("fetch")
	w.after(5*time.Millisecond, func() { w.reportList(w.rng.IntN(4) > 0) })
}

func (w *goldenSimulation) Log(text string) { w.record("log %s", text) }

// reportList reports the full list, or that the request for it has failed.
func (w *goldenSimulation) reportList(ok bool) {
	l := decision.List{Kind: decision.FailedList}
	if ok {
		w.version++
		l = decision.List{Kind: decision.FullList, Version: w.version}
		for _, e := range w.endpoints {
			if e.State != decision.Departed {
				l.Entries = append(l.Entries, e)
			}
		}
	}
	w.balancer.Targets(w.now, l)
}

// changeEndpoint changes the entry of one endpoint and reports it as a delta.
func (w *goldenSimulation) changeEndpoint() {
	e := &w.endpoints[w.rng.IntN(len(w.endpoints))]
	if e.State = decision.State(w.rng.IntN(5) / 2 % 3); w.rng.IntN(2) == 0 {
		e.State, e.Started = decision.Ready, w.now
	}
	w.version++
	w.balancer.Targets(w.now, decision.List{
		Kind: decision.DeltaList, Version: w.version, Entries: []decision.Entry{*e},
	})
}

// submit submits requests one after another, with a random pause of the given mean.
func (w *goldenSimulation) submit(number int, pause time.Duration) {
	s := w.settings
	r := &goldenRequest{Request: decision.Request{
		ID:    decision.RequestID(fmt.Sprint("r", number)),
		Class: w.rng.IntN(len(s.Classes)), Tenant: w.rng.IntN(len(s.Tenants) + 1),
		Remaining: time.Second + w.randomBelow(time.Second),
		IsRetry:   w.rng.IntN(8) == 0, IdleConns: 8, LongBody: w.rng.IntN(12) == 0,
	}}
	w.requests[r.ID] = r
	w.balancer.Request(w.now, r.Request)
	if w.rng.IntN(20) == 0 {
		w.after(w.randomBelow(200*time.Millisecond), func() {
			if !r.answered {
				r.answered = true
				w.balancer.Abandoned(w.now, r.ID)
			}
		})
	}
	w.after(w.randomBelow(2*pause), func() { w.submit(number+1, pause) })
}

// updateFromFleet reports evidence of other instances and quota shares, once per second.
func (w *goldenSimulation) updateFromFleet() {
	id := w.endpoints[w.rng.IntN(len(w.endpoints))].Endpoint
	ejections := []decision.PeerEjection{{Endpoint: id, Age: w.randomBelow(time.Second)}}
	w.record("heeded %d", w.balancer.ApplyPeerEjections(w.now, ejections))
	w.record("evidence %v", w.balancer.Evidence(w.now, []decision.EndpointID{1, 2, 3}))
	w.record("uses %v", w.balancer.Usage())
	rates := make([]float64, len(w.settings.Tenants))
	for i := range rates {
		rates[i] = 20 * w.rng.Float64()
	}
	w.balancer.SetQuotaShares(w.now, decision.QuotaShares{
		TenantRates: rates, TenantFallbackRates: rates, RetryRate: 10*w.rng.Float64() - 2,
		RetryFallbackRate: 1, Until: w.now + time.Second,
	})
	w.after(time.Second, w.updateFromFleet)
}

// replaceBalancer replaces the Balancer by a successor that restores its snapshot. Calls in flight are
// dropped.
func (w *goldenSimulation) replaceBalancer(t *testing.T, seed uint64) {
	t.Helper()
	snapshot, calls := w.balancer.Snapshot(w.now), w.balancer.InFlight()
	text, err := json.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	w.record("learnt %s %v", text, calls)
	for _, r := range w.requests {
		r.answered, r.inFlight = true, false
	}
	previous := w.balancer
	w.newBalancer(t, seed)
	if err := w.balancer.Restore(w.now, snapshot); err != nil || previous == w.balancer {
		t.Fatal(err)
	}
	w.balancer.SetPredecessorCalls(w.now, calls, w.now+500*time.Millisecond)
}

// newBalancer creates a Balancer and reports the list of all endpoints to it.
func (w *goldenSimulation) newBalancer(t *testing.T, seed uint64) {
	t.Helper()
	b, err := decision.New(w.settings, seed, w)
	if err != nil {
		t.Fatal(err)
	}
	w.balancer = b
	w.version++
	b.Targets(w.now, decision.List{Kind: decision.CachedList, Version: w.version, Entries: w.endpoints})
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
			w := &goldenSimulation{
				settings: goldenSettings(c.instances, c.stage), rng: rand.New(rand.NewPCG(7, 11)),
				now: time.Hour, digest: fnv.New64a(), requests: map[decision.RequestID]*goldenRequest{},
			}
			c.configure(&w.settings)
			for i := range c.endpoints {
				w.endpoints = append(w.endpoints, decision.Entry{
					Endpoint: decision.EndpointID(i + 1), Zone: i % 2, Kind: i % 3,
					Cell: i / 2, Weight: 1 + float64(i%min(c.instances, 3)),
				})
			}
			w.newBalancer(t, 1)
			w.submit(1, c.pause)
			for i := range 12 {
				w.after(time.Duration(i)*1500*time.Millisecond, w.changeEndpoint)
			}
			w.after(2*time.Second, w.updateFromFleet)
			w.after(12*time.Second, func() { w.replaceBalancer(t, 2) })
			w.after(18*time.Second, func() { w.balancer.Drain(w.now, w.now+time.Second, c.instances == 2) })
			for end := w.now + 20*time.Second; w.queue[0].at < end; {
				e := heap.Pop(&w.queue).(goldenEvent)
				w.now = e.at
				e.do()
			}
			if got := fmt.Sprintf("%d actions, %016x", w.actions, w.digest.Sum64()); got != c.digest {
				t.Errorf("got %q, want %q", got, c.digest)
			}
		})
	}
}
