package decision

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// After any lists and outcomes, each set contains exactly the endpoints that a scan of all endpoints finds,
// and each known endpoint is either listed or departed.
func TestIndexSetsEqualScanOfAllEndpoints(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := start(t, settings(), 6)
		answered := 0
		for i := range 600 {
			l := List{Kind: DeltaList, Version: uint64(2 + i)}
			if rng.IntN(20) == 0 {
				l.Kind = FullList
			}
			for n := rng.IntN(4); n > 0 || l.Kind == FullList && len(l.Entries) < 3; n-- {
				x := Entry{Endpoint: EndpointID(1 + rng.IntN(40)), State: State(rng.IntN(3)), Weight: 1}
				if rng.IntN(3) == 0 {
					x.Started = h.now - time.Duration(rng.IntN(20))*time.Second
				}
				l.Entries = append(l.Entries, x)
			}
			if rng.IntN(3) == 0 {
				h.b.Targets(h.now, l)
			}
			h.request(rng.IntN(3))
			h.advance(time.Duration(rng.IntN(60)) * ms)
			for ; answered < len(h.sent) && rng.IntN(4) > 0; answered++ {
				status := []Status{OK, OK, OK, Error, Reset, ConnectFailed, Rejected, Timeout}[rng.IntN(8)]
				h.reportOutcome(h.sent[answered], status, 20*ms)
			}
			check := func(name string, set []*endpoint, isMember func(*endpoint) bool) {
				var want []*endpoint
				for _, e := range h.b.byID {
					if e.listed && isMember(e) {
						want = append(want, e)
					}
				}
				if sortByID(want); !slices.Equal(want, set) {
					t.Fatalf("seed %d, event %d: %s: %d endpoints, want %d", seed, i, name, len(set), len(want))
				}
			}
			check("listed", h.b.listed, func(*endpoint) bool { return true })
			check("busy", h.b.busy, func(e *endpoint) bool { return len(e.calls) > 0 })
			check("in slow start", h.b.inSlowStart, func(e *endpoint) bool { return e.state == stateSlowStart })
			check("ejected", h.b.ejected, func(e *endpoint) bool { return e.state == stateEjected })
			check("subset", h.b.subset, func(e *endpoint) bool { return e.subsetWeight > 0 })
			usable := 0
			for _, e := range h.b.listed {
				if e.state == stateUsable {
					usable++
				}
			}
			if usable != h.b.usableCount || len(h.b.listed)+len(h.b.departed) != len(h.b.byID) {
				t.Fatalf("seed %d, event %d: usable count %d, want %d; %d listed and %d departed of %d",
					seed, i, h.b.usableCount, usable,
					len(h.b.listed), len(h.b.departed), len(h.b.byID))
			}
		}
	}
}

// The cost of a tick and of a request does not grow with the number of listed endpoints.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := settings()
			s.Instances = n / 2
			h := start(&testing.T{}, s, n)
			for i := range b.N {
				id := RequestID(fmt.Sprint(i))
				h.b.Request(h.now, Request{ID: id, Class: read, Remaining: 1500 * ms})
				h.now += 8 * ms
				h.b.Timer(h.now, tokenTick)
				x := h.last()
				h.b.Outcome(h.now, Outcome{ID: x.id, Endpoint: x.to, Attempt: x.attempt, Final: true, Elapsed: 8 * ms})
				h.sent, h.attempts = h.sent[:0], map[RequestID]int{}
			}
		})
	}
}
