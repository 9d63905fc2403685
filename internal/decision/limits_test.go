package decision

import (
	"slices"
	"testing"
	"time"
)

// A base latency learned from the first answers, which are those of short calls, kept nearly all requests
// in the queue.
func TestFirstShortAnswersDoNotSetTheLimit(t *testing.T) {
	h := start(t, settings(), 10)
	for i := range 40 {
		h.request(read)
		h.reportOutcome(h.last(), OK, time.Duration(1+i%3)*ms)
	}
	if at := len(h.sent); true {
		for range 40 {
			h.request(read)
		}
		if n := len(h.sent) - at; n < 40 {
			t.Errorf("%d of 40 sent at once to 10 endpoints, want all", n)
		}
	}
}

// Stuck calls lower the answer rate; a limit without a floor would follow it down for good.
func TestLimitRecoversFromStuckCalls(t *testing.T) {
	h := start(t, settings(), 6)
	h.serve(100, nil)
	h.advance(30 * time.Second)
	at := len(h.sent)
	for range 6 {
		h.request(read)
	}
	if n := len(h.sent) - at; n < 6 {
		t.Errorf("%d of 6 sent after a long pause, want all", n)
	}
}

// When most endpoints leave, the few that are left get no more than they could bear before, at once: what
// the whole tier had would overload them.
func TestLimitFollowsEndpointsInService(t *testing.T) {
	s := settings()
	s.Classes[read].Deadline = time.Minute
	h := start(t, s, 8)
	for range 400 { // 16 calls at a time, so that the limit rests on a full tier
		for len(h.b.requests) < 16 {
			h.request(read)
		}
		out := slices.Clone(h.b.listed[0].calls)
		for _, e := range h.b.listed[1:] {
			out = append(out, e.calls...)
		}
		h.advance(20 * ms)
		for _, r := range out {
			h.reportOutcome(sentCall{id: r.id, to: r.current.id, attempt: r.attempts - 1}, OK, 20*ms)
		}
	}
	before := h.b.inFlightLimit
	for id := EndpointID(1); id < 8; id++ {
		h.updateEntry(Entry{Endpoint: id, State: Draining})
	}
	h.request(read)
	if h.b.inFlightLimit > before/2 {
		t.Errorf("the limit is %.1f for one endpoint and was %.1f for eight", h.b.inFlightLimit, before)
	}
}

// With many instances each has a call or two in flight: a tier filled up, every endpoint was overloaded,
// and no limit on calls in flight held anything back. Latency far above what it should be must slow the
// sends.
func TestLatencyPressurePacesSendsWhereInstancesOutnumberEndpoints(t *testing.T) {
	sends := func(instances int, took time.Duration) int {
		s := settings()
		s.Instances = instances
		h := start(t, s, 10)
		at := 0
		for i := range 240 {
			if i == 40 {
				at = len(h.sent)
			}
			n := len(h.sent)
			h.request(read)
			if len(h.sent) > n {
				if i > 40 {
					h.reportOutcome(h.last(), OK, took)
				} else {
					h.reportOutcome(h.last(), OK, 100*ms)
				}
			}
			h.advance(100 * ms)
		}
		return len(h.sent) - at
	}
	if n := sends(100, 100*ms); n != 200 {
		t.Errorf("%d of 200 requests sent on an easy tier, want all", n)
	}
	if n := sends(100, 700*ms); n > 150 {
		t.Errorf("%d of 200 requests sent while calls take seven times as long, want far fewer", n)
	}
	if n := sends(10, 700*ms); n < 190 {
		t.Errorf("%d of 200 requests sent by one of few instances, want nearly all", n)
	}
}
