package decision

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// With all endpoints cold at once, what one instance sends each is capped by what warm ones were seen to
// bear.
func TestSendRateToColdEndpointsIsCapped(t *testing.T) {
	h := start(t, settings(), 10)
	h.serve(300, nil) // 50 a second, 5 to each
	for id := EndpointID(1); id <= 10; id++ {
		h.updateEntry(Entry{Endpoint: id, Started: h.now})
	}
	got := map[EndpointID]int{}
	at := len(h.sent)
	for range 500 {
		h.request(read)
		h.advance(2 * ms)
		for ; at < len(h.sent); at++ {
			got[h.sent[at].to]++
			h.reportOutcome(h.sent[at], OK, 2*ms)
		}
	}
	for id, n := range got {
		if n > 8 { // 3 times a fifth of ten a second, and a little for chance
			t.Errorf("%d sends in its first second to cold endpoint %d", n, id)
		}
	}
	if len(got) == 0 {
		t.Error("cold endpoints got nothing at all")
	}
}

// A cold endpoint was pushed over by retries of instances whose subsets do not have it, and by getting the
// rate of a full endpoint from each instance whose subset has a small part of it.
func TestColdEndpointIsSentBySubsetWeightAndNoRetriesFromOutside(t *testing.T) {
	s := settings()
	s.Instances = 60
	h := start(t, s, 20)
	h.serve(200, nil)
	var outside *endpoint
	for _, e := range h.b.listed {
		if e.subsetWeight == 0 {
			outside = e
		}
	}
	h.updateEntry(Entry{Endpoint: outside.id, Started: h.now, Weight: 1})
	for range 50 {
		h.request(read)
		h.reportOutcome(h.last(), Rejected, ms)
		if to := h.last().to; to == outside.id {
			t.Fatal("a further attempt went to a cold endpoint outside the subset")
		}
		h.reportOutcome(h.last(), OK, 20*ms)
		h.advance(100 * ms)
	}
	cold := h.b.listed[0]
	for _, e := range h.b.listed {
		if e.subsetWeight > 0 {
			cold = e
		}
	}
	rate := func(part float64) float64 {
		h.b.setState(cold, stateSlowStart)
		cold.subsetWeight, cold.slowStartFrom, cold.slowStartTokens, cold.slowStartTokensAt = part, h.now, 0, h.now-10*ms
		h.b.hasSlowStartToken(h.now, cold)
		return cold.slowStartTokens
	}
	if whole, sliver := rate(1), rate(0.1); whole == 0 || sliver > 0.11*whole {
		t.Errorf("%.3f sends allowed for a tenth of a cold endpoint, %.3f for all of it", sliver, whole)
	}
}

// A cold endpoint that was silent and then serves a trial call is as cold as its start says.
func TestTrialDoesNotShortenWarmUp(t *testing.T) {
	h := start(t, settings(), 4)
	h.now = 21 * time.Second
	h.applyDelta(3, Entry{Endpoint: 1, Weight: 1, Started: h.now})
	h.now += time.Second
	e := h.b.byID[1]
	h.b.eject(h.now, e, "silent")
	h.b.endEjection(h.now, e)
	if got := h.b.capacityShare(h.now, e); e.state != stateSlowStart || got > 0.3 {
		t.Errorf("mark %d, share %.2f one second after its start", e.state, got)
	}
}

// slowStartSimulation is a fleet of instances and some endpoints, in virtual time: all instances learn of the
// endpoints that have just started at the same time.
type slowStartSimulation struct {
	rng     *rand.Rand
	now     time.Duration
	events  slowStartEvents
	brokers []*slowStartInstance
	servers []*slowStartServer
	set     Settings
	work    time.Duration // mean, of one call
	seq     int
}

type slowStartServer struct {
	started time.Duration // 0 for long past
	out     int
	sent    []time.Duration // while it is cold
}

type slowStartInstance struct {
	w    *slowStartSimulation
	b    *Balancer
	out  map[RequestID]Outcome
	sent map[RequestID]int
}

type slowStartEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type slowStartEvents []slowStartEvent

func (h slowStartEvents) Len() int { return len(h) }

func (h slowStartEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h slowStartEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *slowStartEvents) Push(x any) { *h = append(*h, x.(slowStartEvent)) }

func (h *slowStartEvents) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (w *slowStartSimulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, slowStartEvent{w.now + d, w.seq, do})
}

func (w *slowStartSimulation) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(slowStartEvent)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// share is the part of its warm capacity that an endpoint has at a time.
func (w *slowStartSimulation) share(s *slowStartServer, at time.Duration) float64 {
	if s.started == 0 || at-s.started >= w.set.WarmUp {
		return 1
	}
	return w.set.ColdCapacity + (1-w.set.ColdCapacity)*float64(at-s.started)/float64(w.set.WarmUp)
}

const slowStartCores = 2

func (r *slowStartInstance) Send(id RequestID, to EndpointID, _, _ time.Duration) {
	w, s := r.w, r.w.servers[to-1]
	share := w.share(s, w.now)
	if share < 1 {
		s.sent = append(s.sent, w.now)
	}
	s.out++
	work := w.work.Seconds() * w.rng.ExpFloat64()
	took := seconds(work * max(float64(s.out)/slowStartCores, 1) / share)
	attempt := r.sent[id]
	r.sent[id]++
	w.after(took, func() {
		s.out--
		r.b.Outcome(w.now, Outcome{ID: id, Endpoint: to, Attempt: attempt, Final: true, Elapsed: took, Status: OK})
	})
}

func (r *slowStartInstance) Refuse(RequestID, time.Duration) {}

func (r *slowStartInstance) Fail(RequestID) {}

func (r *slowStartInstance) Cancel(RequestID, int) {}

func (r *slowStartInstance) Watch(bool) {}

func (r *slowStartInstance) Fetch() {}

func (r *slowStartInstance) Log(string) {}

func (r *slowStartInstance) SetTimer(token uint64, after time.Duration) {
	r.w.after(after, func() { r.b.Timer(r.w.now, token) })
}

func (w *slowStartSimulation) entry(i int) Entry {
	return Entry{Endpoint: EndpointID(i + 1), Weight: 1, Started: w.servers[i].started}
}

// worst is the most that a cold endpoint gets in the overload window, over what the settings allow it then
// with a margin for chance: N + 2 x root of N + 2.
func (w *slowStartSimulation) worst() (ratio float64, got int, allowed float64) {
	for _, s := range w.servers {
		for i, at := range s.sent {
			n := 0
			for _, x := range s.sent[i:] {
				if x-at < w.set.OverloadWindow {
					n++
				}
			}
			// What it can do at the beginning of that time: the least.
			most := w.set.OverloadMultiple * w.share(s, at) * slowStartCores / w.work.Seconds() * w.set.OverloadWindow.Seconds()
			if most += 2*math.Sqrt(most) + 2; float64(n)/most > ratio {
				ratio, got, allowed = float64(n)/most, n, most
			}
		}
	}
	return ratio, got, allowed
}

// newSlowStartWorld has instances that have served for a while, or have just started, when some of the
// endpoints start.
func newSlowStartWorld(seed uint64, brokers, servers int, restarted float64, fresh, tight bool) *slowStartSimulation {
	w := &slowStartSimulation{rng: rand.New(rand.NewPCG(seed, 1)), set: settings(), work: 100 * ms}
	w.now = 24 * time.Hour
	w.set.Instances, w.set.Tiers = brokers, 1
	w.set.ColdCapacity, w.set.WarmUp, w.set.OverloadMultiple, w.set.OverloadWindow = 0.3, 8*time.Second, 3, time.Second
	if tight { // hardly a call in the time that counts
		w.work, w.set.ColdCapacity, w.set.WarmUp, w.set.OverloadMultiple = 300*ms, 0.15, 16*time.Second, 2.5
	}
	for range servers {
		w.servers = append(w.servers, &slowStartServer{})
	}
	all := make([]Entry, servers)
	for i := range all {
		all[i] = w.entry(i)
	}
	meanGap := w.work.Seconds() / (0.6 * slowStartCores * float64(servers)) * float64(brokers)
	begin := w.now
	for i := range brokers {
		r := &slowStartInstance{w: w, out: map[RequestID]Outcome{}, sent: map[RequestID]int{}}
		set := w.set
		set.Ordinal = i
		b, err := New(set, seed+uint64(i), r)
		if err != nil {
			panic(err)
		}
		r.b = b
		w.brokers = append(w.brokers, r)
		b.Targets(w.now, List{Kind: FullList, Version: 1, Entries: all})
		heavy := 0.5 + w.rng.Float64() // callers come unevenly
		n := 0
		var arrive func()
		arrive = func() {
			n++
			b.Request(w.now, Request{ID: RequestID(fmt.Sprint(i, "/", n)), Class: read, Remaining: 1500 * ms})
			w.after(seconds(meanGap*w.rng.ExpFloat64()/heavy), arrive)
		}
		w.after(seconds(meanGap*w.rng.ExpFloat64()/heavy), arrive)
	}
	if !fresh {
		w.run(begin + 8*time.Second)
	}
	started := w.now
	for i, s := range w.servers {
		if float64(i) < restarted*float64(servers) {
			s.started = started
			entry := w.entry(i)
			for _, r := range w.brokers {
				w.after(seconds(0.3*w.rng.Float64()), func() {
					r.b.Targets(w.now, List{Kind: DeltaList, Version: 2, Entries: []Entry{entry}})
				})
			}
		}
	}
	w.run(started + w.set.WarmUp/4) // later they bear more
	return w
}

// A cold endpoint is pushed over by the sum of what all instances send, of which each knows only its own.
// That sum stays within what the settings allow, and chance, for instances that have served for a while and
// for a fleet that starts with its endpoints.
func TestSlowStartHoldsForFleet(t *testing.T) {
	for _, x := range []struct {
		brokers, servers, seeds int
	}{{4, 20, 1}, {20, 20, 1}, {30, 20, 1}, {300, 60, 1}} {
		for _, restarted := range []float64{0.6, 1} {
			for _, fresh := range []bool{false, true} {
				for _, tight := range []bool{false, true} {
					if x.brokers > 100 && !(fresh && tight && restarted == 1) {
						continue // where it is worst only: they are many
					}
					name := fmt.Sprintf("%d brokers, %d servers, %v of them started, fresh %v, tight %v", x.brokers, x.servers,
						restarted, fresh, tight)
					for seed := range uint64(x.seeds) {
						ratio, got, allowed := newSlowStartWorld(seed, x.brokers, x.servers, restarted, fresh, tight).worst()
						if ratio > 1 || got == 0 {
							t.Errorf("%s, seed %d: a cold server got %d calls, %.1f allowed", name, seed, got, allowed)
						}
					}
				}
			}
		}
	}
}
