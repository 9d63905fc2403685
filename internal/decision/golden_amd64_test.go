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

// This file is built for amd64 alone: on processors with fused multiply-add the compiler may round otherwise, and
// one different rounding changes all later draws.

// goldenEvent is one event of a goldenWorld; events of the same time happen in the order they were added.
type goldenEvent struct {
	at    time.Duration
	order int
	do    func()
}

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

// goldenSimulation feeds one Balancer with events drawn from a seed and hashes every action that it takes, with its time.
type goldenSimulation struct {
	settings decision.Settings
	rng      *rand.Rand
	now      time.Duration
	queue    goldenQueue
	added    int
	balancer *decision.Balancer
	digest   hash.Hash64
	actions  int
	version  uint64
	servers  []decision.Entry
	open     map[decision.RequestID]*goldenRequest
}

type goldenRequest struct {
	decision.Request
	attempts int
	to       decision.EndpointID // of the last attempt
	answered bool
	out      bool
}

func (w *goldenSimulation) after(d time.Duration, do func()) {
	w.added++
	heap.Push(&w.queue, goldenEvent{w.now + d, w.added, do})
}

func (w *goldenSimulation) note(format string, args ...any) {
	w.actions++
	fmt.Fprintf(w.digest, "%d ", w.now)
	fmt.Fprintf(w.digest, format+"\n", args...)
}

func (w *goldenSimulation) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *goldenSimulation) Send(id decision.RequestID, to decision.EndpointID, timeout, within time.Duration) {
	w.note("send %s %d %d %d", id, to, timeout, within)
	r := w.open[id]
	number := r.attempts
	r.attempts++
	r.out, r.to = true, to
	status := decision.OK
	if drawn := w.rng.IntN(100); drawn < 12 {
		status = decision.Status(w.rng.IntN(9))
	}
	took := 2*time.Millisecond + w.upTo(60*time.Millisecond)*time.Duration(1+to%3)
	if w.rng.IntN(40) == 0 {
		took += time.Second // overtaken by later calls
	}
	if timeout > 0 && took > timeout {
		took, status = timeout, decision.Timeout
	}
	if r.LongBody {
		sent := w.upTo(took)
		w.after(sent, func() { w.balancer.RequestSent(w.now, id, r.Remaining) })
	}
	if status == decision.OK && w.settings.Classes[r.Class].Streamed {
		w.after(took*9/10, func() { w.balancer.ResponseStarted(w.now, id, number, to) })
	}
	w.after(took, func() { w.end(r, to, number, status, took) })
}

// end reports the end of an attempt, unless it was reported by a cancellation.
func (w *goldenSimulation) end(r *goldenRequest, to decision.EndpointID, number int, status decision.Status, took time.Duration) {
	if !r.out || r.attempts != number+1 {
		return
	}
	r.out = false
	final := r.answered || status == decision.OK
	r.answered = final
	var load *decision.Load
	if w.rng.IntN(3) == 0 {
		load = &decision.Load{InFlight: 1, Queue: -1, Util: -1, Service: took / 2}
	}
	w.balancer.Outcome(w.now, decision.Outcome{
		ID: r.ID, Endpoint: to, Attempt: number, Final: final, Elapsed: took,
		Status: status, Load: load, NotReplayable: r.LongBody && w.rng.IntN(2) == 0,
	})
}

func (w *goldenSimulation) Refuse(id decision.RequestID, retryAfter time.Duration) {
	w.note("refuse %s %d", id, retryAfter)
	w.open[id].answered = true
}

func (w *goldenSimulation) Fail(id decision.RequestID) {
	w.note("fail %s", id)
	w.open[id].answered = true
}

func (w *goldenSimulation) Cancel(id decision.RequestID, attempt int) {
	w.note("cancel %s %d", id, attempt)
	r := w.open[id]
	w.after(time.Millisecond, func() {
		if r.attempts == attempt+1 && r.out {
			w.end(r, r.to, attempt, decision.Cancelled, 10*time.Millisecond)
		}
	})
}

func (w *goldenSimulation) SetTimer(token uint64, after time.Duration) {
	w.note("timer %d %d", token, after)
	owner := w.balancer
	w.after(after, func() {
		if owner == nil || owner == w.balancer {
			w.balancer.Timer(w.now, token)
		}
	})
}

func (w *goldenSimulation) Watch(on bool) {
	w.note("watch %t", on)
	w.after(5*time.Millisecond, func() { w.list(w.rng.IntN(2) == 0) })
}

func (w *goldenSimulation) Fetch() {
	w.note("fetch")
	w.after(5*time.Millisecond, func() { w.list(w.rng.IntN(4) > 0) })
}

func (w *goldenSimulation) Log(text string) { w.note("log %s", text) }

// list hands over the whole list, or that it could not be had.
func (w *goldenSimulation) list(ok bool) {
	l := decision.List{Kind: decision.FailedList}
	if ok {
		w.version++
		l = decision.List{Kind: decision.FullList, Version: w.version}
		for _, e := range w.servers {
			if e.State != decision.Departed {
				l.Entries = append(l.Entries, e)
			}
		}
	}
	w.balancer.Targets(w.now, l)
}

// change changes one endpoint's entry, and hands it over as a delta.
func (w *goldenSimulation) change() {
	e := &w.servers[w.rng.IntN(len(w.servers))]
	if e.State = decision.State(w.rng.IntN(5) / 2 % 3); w.rng.IntN(2) == 0 {
		e.State, e.Started = decision.Ready, w.now
	}
	w.version++
	w.balancer.Targets(w.now, decision.List{Kind: decision.DeltaList, Version: w.version, Entries: []decision.Entry{*e}})
}

// ask brings requests, one after another.
func (w *goldenSimulation) ask(number int, pause time.Duration) {
	s := w.settings
	r := &goldenRequest{Request: decision.Request{
		ID:    decision.RequestID(fmt.Sprint("r", number)),
		Class: w.rng.IntN(len(s.Classes)), Tenant: w.rng.IntN(len(s.Tenants) + 1), Remaining: time.Second + w.upTo(time.Second),
		IsRetry: w.rng.IntN(8) == 0, IdleConns: 8, LongBody: w.rng.IntN(12) == 0,
	}}
	w.open[r.ID] = r
	w.balancer.Request(w.now, r.Request)
	if w.rng.IntN(20) == 0 {
		w.after(w.upTo(200*time.Millisecond), func() {
			if !r.answered {
				r.answered = true
				w.balancer.Abandoned(w.now, r.ID)
			}
		})
	}
	w.after(w.upTo(2*pause), func() { w.ask(number+1, pause) })
}

// fleet brings what other instances have found out, and what the fleet allots.
func (w *goldenSimulation) fleet() {
	id := w.servers[w.rng.IntN(len(w.servers))].Endpoint
	w.note("heeded %d", w.balancer.ApplyPeerEjections(w.now, []decision.PeerEjection{{Endpoint: id, Age: w.upTo(time.Second)}}))
	w.note("evidence %v", w.balancer.Evidence(w.now, []decision.EndpointID{1, 2, 3}))
	w.note("uses %v", w.balancer.Usage())
	parts := make([]float64, len(w.settings.Tenants))
	for i := range parts {
		parts[i] = 20 * w.rng.Float64()
	}
	w.balancer.SetQuotaShares(w.now, decision.QuotaShares{
		TenantRates: parts, TenantFallbackRates: parts, RetryRate: 10*w.rng.Float64() - 2,
		RetryFallbackRate: 1, Until: w.now + time.Second,
	})
	w.after(time.Second, w.fleet)
}

// replace has a new Balancer inherit from the present one, that keeps nothing in flight.
func (w *goldenSimulation) replace(t *testing.T, seed uint64) {
	t.Helper()
	learnt, calls := w.balancer.Snapshot(w.now), w.balancer.InFlight()
	text, err := json.Marshal(learnt)
	if err != nil {
		t.Fatal(err)
	}
	w.note("learnt %s %v", text, calls)
	for _, r := range w.open {
		r.answered, r.out = true, false
	}
	old := w.balancer
	w.begin(t, seed)
	if err := w.balancer.Restore(w.now, learnt); err != nil || old == w.balancer {
		t.Fatal(err)
	}
	w.balancer.SetPredecessorCalls(w.now, calls, w.now+500*time.Millisecond)
}

func (w *goldenSimulation) begin(t *testing.T, seed uint64) {
	t.Helper()
	b, err := decision.New(w.settings, seed, w)
	if err != nil {
		t.Fatal(err)
	}
	w.balancer = b
	w.version++
	b.Targets(w.now, decision.List{Kind: decision.CachedList, Version: w.version, Entries: w.servers})
}

func goldenSettings(instances, stage int) decision.Settings {
	c := decision.Class{LatencyTarget: 300 * time.Millisecond, Deadline: 2 * time.Second, Value: 1}
	read, keyed, unsafe, stream := c, c, c, c
	read.Name, read.Effect, read.LateValue = "read", decision.Safe, 0.5
	keyed.Name, keyed.Effect, keyed.Scope, keyed.Window = "keyed", decision.Keyed, decision.ScopeCell, time.Second
	unsafe.Name, unsafe.Effect, unsafe.Value = "unsafe", decision.Unsafe, 3
	stream.Name, stream.Effect, stream.Streamed = "stream", decision.Safe, true
	return decision.Settings{
		Instances: instances, Ordinal: instances / 2, Stage: stage, Tiers: 2,
		Quantum: time.Millisecond, GoalTotal: 0.7, GoalWorstClass: 0.3, MayCancel: true, MaxAttempts: 4,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: 100 * time.Millisecond, DiscoveryInterval: 5 * time.Second,
		ClientsMarkRetries: true, ColdCapacity: 0.2, WarmUp: 5 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		Classes: []decision.Class{read, keyed, unsafe, stream},
		Tenants: []decision.Tenant{{Name: "a", QuotaPerS: 20}, {Name: "b", QuotaPerS: 60}},
	}
}

// The actions for a fixed seed are those of the code as it was at bfb03d8. A change that is meant to leave
// the decisions alone must leave these digests alone; one that changes a decision states the new ones.
func TestActionsForFixedSeedsAreUnchanged(t *testing.T) {
	for _, c := range []struct {
		name      string
		instances int
		stage     int
		servers   int
		pause     time.Duration
		change    func(*decision.Settings)
		digest    string
	}{
		{"alone, crowded", 1, 0, 6, 3 * time.Millisecond, func(*decision.Settings) {}, "11917 actions, 3cf738fa05071f3e"},
		{"one of many, rarely asked", 24, 0, 12, 20 * time.Millisecond, func(*decision.Settings) {}, "5918 actions, 49106024cf026ca0"},
		{
			"second tier without cancelling", 3, 1, 8, 4 * time.Millisecond,
			func(s *decision.Settings) { s.MayCancel = false }, "10290 actions, e0c4abca9a166b90",
		},
		{
			"lists that must be asked for", 2, 0, 8, 5 * time.Millisecond,
			func(s *decision.Settings) { s.PullDiscovery, s.ValueByWork = true, true }, "9200 actions, 52d6b388c1ca9827",
		},
		{
			"as many instances as endpoints, paced", 40, 0, 8, 8 * time.Millisecond,
			func(s *decision.Settings) { s.ClientsMarkRetries = false }, "7639 actions, 84c76231e65ecbaf",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := &goldenSimulation{
				settings: goldenSettings(c.instances, c.stage), rng: rand.New(rand.NewPCG(7, 11)),
				now: time.Hour, digest: fnv.New64a(), open: map[decision.RequestID]*goldenRequest{},
			}
			c.change(&w.settings)
			for i := range c.servers {
				w.servers = append(w.servers, decision.Entry{
					Endpoint: decision.EndpointID(i + 1), Zone: i % 2, Kind: i % 3,
					Cell: i / 2, Weight: 1 + float64(i%min(c.instances, 3)),
				})
			}
			w.begin(t, 1)
			w.ask(1, c.pause)
			for i := range 12 {
				w.after(time.Duration(i)*1500*time.Millisecond, w.change)
			}
			w.after(2*time.Second, w.fleet)
			w.after(12*time.Second, func() { w.replace(t, 2) })
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
