package decision

import (
	"slices"
	"testing"
	"time"
)

// The first answers are those of short calls. A base latency learned from them would keep nearly all requests
// in the queue.
func TestFirstShortAnswersDoNotSetTheLimit(t *testing.T) {
	h := start(t, settings(), 10)
	for i := range 40 {
		h.request(read)
		h.reportOutcome(h.last(), OK, time.Duration(1+i%3)*ms)
	}
	if before := len(h.sent); true {
		for range 40 {
			h.request(read)
		}
		if n := len(h.sent) - before; n < 40 {
			t.Errorf("%d of 40 requests sent at once to 10 endpoints, want all", n)
		}
	}
}

// Stuck calls lower the answer rate. A limit without a lower bound would follow it and never recover.
func TestLimitRecoversFromStuckCalls(t *testing.T) {
	h := start(t, settings(), 6)
	h.serve(100, nil)
	h.advance(30 * time.Second)
	before := len(h.sent)
	for range 6 {
		h.request(read)
	}
	if n := len(h.sent) - before; n < 6 {
		t.Errorf("%d of 6 requests sent after a long pause, want all", n)
	}
}

// When most endpoints leave, the limit falls at once to the share of the remaining ones. The limit of the
// whole tier would overload them.
func TestLimitFollowsEndpointsInService(t *testing.T) {
	s := settings()
	s.Classes[read].Deadline = time.Minute
	h := start(t, s, 8)
	for range 400 { // 16 concurrent calls, so that the limit is that of a busy tier
		for len(h.b.requests) < 16 {
			h.request(read)
		}
		inFlight := slices.Clone(h.b.listed[0].calls)
		for _, e := range h.b.listed[1:] {
			inFlight = append(inFlight, e.calls...)
		}
		h.advance(20 * ms)
		for _, r := range inFlight {
			h.reportOutcome(sentCall{id: r.id, to: r.current.id, attempt: r.attempts - 1}, OK, 20*ms)
		}
	}
	before := h.b.inFlightLimit
	for id := EndpointID(1); id < 8; id++ {
		h.updateEntry(Entry{Endpoint: id, State: Draining})
	}
	h.request(read)
	if h.b.inFlightLimit > before/2 {
		t.Errorf("the limit is %.1f for one endpoint and was %.1f for eight, want at most half",
			h.b.inFlightLimit, before)
	}
}

// Each of many instances has only one or two calls in flight, so the limit on calls in flight holds nothing
// back, and together they can overload every endpoint. A latency far above the usual one must slow the sends.
func TestLatencyPressurePacesSendsWhereInstancesOutnumberEndpoints(t *testing.T) {
	sends := func(instances int, latency time.Duration) int {
		s := settings()
		s.Instances = instances
		h := start(t, s, 10)
		before := 0
		for i := range 240 {
			if i == 40 {
				before = len(h.sent)
			}
			n := len(h.sent)
			h.request(read)
			if len(h.sent) > n {
				if i > 40 {
					h.reportOutcome(h.last(), OK, latency)
				} else {
					h.reportOutcome(h.last(), OK, 100*ms)
				}
			}
			h.advance(100 * ms)
		}
		return len(h.sent) - before
	}
	if n := sends(100, 100*ms); n != 200 {
		t.Errorf("%d of 200 requests sent on a lightly loaded tier, want all", n)
	}
	if n := sends(100, 700*ms); n > 150 {
		t.Errorf("%d of 200 requests sent while calls take seven times as long, want at most 150", n)
	}
	if n := sends(10, 700*ms); n < 190 {
		t.Errorf("%d of 200 requests sent by one of ten instances, want at least 190", n)
	}
}
