package decision

import (
	"math"
	"testing"
	"time"
)

func TestPickPrefersFewerCallsInFlight(t *testing.T) {
	h := start(t, settings(), 2)
	h.request(read)
	first := h.last().to
	h.request(read)
	if h.last().to == first {
		t.Error("the second call went to the busy endpoint although the other one was idle")
	}
}

// In a subset of two, every draw contains both endpoints. A random choice between equally loaded endpoints
// would give both the same number of calls, regardless of their weights.
func TestTiesAreBrokenByWeight(t *testing.T) {
	s := settings()
	s.Instances = 40
	h := start(t, s, 0)
	entries := []Entry{{Endpoint: 1, Weight: 9}, {Endpoint: 2, Weight: 1}}
	h.b.Targets(h.now, List{Kind: FullList, Version: 2, Entries: entries})
	if got := h.serve(400, nil); got[2] < 20 || got[2] > 70 {
		t.Errorf("calls by endpoint %v, want about 40 to endpoint 2, which has a tenth of the weight", got)
	}
}

// In a list without weights, reported service times must tell fast and slow machines apart. Otherwise slow
// machines get as many calls as fast ones and are overloaded.
func TestReportedServiceTimesSetDrawWeights(t *testing.T) {
	h := start(t, settings(), 0)
	l := List{Kind: FullList, Version: 2}
	for id := EndpointID(1); id <= 10; id++ {
		l.Entries = append(l.Entries, Entry{Endpoint: id, Kind: int(id % 2), Weight: 1})
	}
	h.b.Targets(h.now, l)
	got := [2]int{}
	for i := range 600 {
		h.request(read)
		s := h.last()
		if i > 100 {
			got[s.to%2]++
		}
		h.b.Outcome(h.now, Outcome{
			ID: s.id, Endpoint: s.to, Final: true, Status: OK, Elapsed: 100 * ms,
			Load: &Load{InFlight: -1, Queue: -1, Util: -1, Service: []time.Duration{10, 30}[s.to%2] * ms},
		})
		h.advance(20 * ms)
	}
	if ratio := float64(got[0]) / float64(got[1]); ratio < 2 || ratio > 4 {
		t.Errorf("fast machines got %d calls and slow ones %d, want a ratio of about 3", got[0], got[1])
	}
}

// If one weight of a list is implausible, all weights are ignored, and all endpoints get a similar number of
// calls.
func TestImplausibleWeightsAreIgnored(t *testing.T) {
	for _, weight := range []float64{1e308, math.Inf(1), math.NaN(), -1, 0} {
		h := start(t, settings(), 4)
		h.applyDelta(3, Entry{Endpoint: 2, Weight: weight})
		got := h.serve(200, nil)
		for id := EndpointID(1); id <= 4; id++ {
			if got[id] < 20 {
				t.Errorf("weight %v: calls by endpoint %v, want at least 20 to each", weight, got)
			}
		}
	}
}

// If a request has failed at the only endpoint that is not ejected, the request is sent there again or ends.
// No other endpoint can become available in time, so the request must not wait in the queue.
func TestRetryUsesLastHealthyEndpointOrEnds(t *testing.T) {
	for _, status := range []Status{Error, InvalidResponse, Reset, ConnectFailed} {
		h := start(t, settings(), 2)
		h.serve(60, nil)
		for range 30 {
			h.request(read)
			i := len(h.sent) - 1
			for ; i < len(h.sent); i++ {
				h.reportOutcome(h.sent[i], status, 10*ms)
			}
			h.advance(100 * ms)
			for ; i < len(h.sent); i++ { // trial calls, and requests that waited for a short time
				h.reportOutcome(h.sent[i], status, 10*ms)
			}
			if len(h.b.queue) > 0 {
				t.Errorf("%v: %s is queued after %d attempts, without a call in flight",
					status, h.b.queue[0].id, h.b.queue[0].attempts)
				break
			}
		}
	}
}
