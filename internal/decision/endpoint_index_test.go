package decision

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Whatever lists and outcomes come, the sets have what a scan of all endpoints finds, and departed
// endpoints are forgotten.
func TestIndexSetsEqualScanOfAllEndpoints(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := start(t, settings(), 6)
		answered := 0
		for i := range 600 {
			l := List{Kind: DeltaList, Version: uint64(2 + i)}
			if rng.IntN(20) == 0 {
				l.Kind = FullList
			}
			for n := rng.IntN(4); n > 0 || l.Kind == FullList && len(l.Entries) < 3; n-- {
				x := Entry{Endpoint: EndpointID(1 + rng.IntN(40)), State: State(rng.IntN(3)), Weight: 1}
				if rng.IntN(3) == 0 {
					x.Started = d.now - time.Duration(rng.IntN(20))*time.Second
				}
				l.Entries = append(l.Entries, x)
			}
			if rng.IntN(3) == 0 {
				d.b.Targets(d.now, l)
			}
			d.request(rng.IntN(3))
			d.advance(time.Duration(rng.IntN(60)) * ms)
			for ; answered < len(d.sent) && rng.IntN(4) > 0; answered++ {
				d.finish(d.sent[answered], []Status{OK, OK, OK, Error, Reset, ConnectFailed, Rejected, Timeout}[rng.IntN(8)], 20*ms)
			}
			check := func(what string, set []*endpoint, in func(*endpoint) bool) {
				var want []*endpoint
				for _, e := range d.b.byID {
					if e.listed && in(e) {
						want = append(want, e)
					}
				}
				if sortByID(want); !slices.Equal(want, set) {
					t.Fatalf("seed %d, event %d: %s: %d endpoints, want %d", seed, i, what, len(set), len(want))
				}
			}
			check("listed", d.b.listed, func(*endpoint) bool { return true })
			check("busy", d.b.busy, func(e *endpoint) bool { return len(e.calls) > 0 })
			check("ramps", d.b.inSlowStart, func(e *endpoint) bool { return e.state == stateSlowStart })
			check("shunned", d.b.ejected, func(e *endpoint) bool { return e.state == stateEjected })
			check("mine", d.b.subset, func(e *endpoint) bool { return e.subsetWeight > 0 })
			usables := 0
			for _, e := range d.b.listed {
				if e.state == stateUsable {
					usables++
				}
			}
			if usables != d.b.usableCount || len(d.b.listed)+len(d.b.departed) != len(d.b.byID) {
				t.Fatalf("seed %d, event %d: %d usable for %d; %d listed and %d gone for %d", seed, i, d.b.usableCount, usables,
					len(d.b.listed), len(d.b.departed), len(d.b.byID))
			}
		}
	}
}

// The cost of a tick and a request does not grow with the list.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := settings()
			s.Instances = n / 2
			d := start(&testing.T{}, s, n)
			for i := range b.N {
				id := RequestID(fmt.Sprint(i))
				d.b.Request(d.now, Request{ID: id, Class: read, Remaining: 1500 * ms})
				d.now += 8 * ms
				d.b.Timer(d.now, tokenTick)
				x := d.last()
				d.b.Outcome(d.now, Outcome{ID: x.id, Endpoint: x.to, Attempt: x.attempt, Final: true, Elapsed: 8 * ms})
				d.sent, d.attempts = d.sent[:0], map[RequestID]int{}
			}
		})
	}
}
