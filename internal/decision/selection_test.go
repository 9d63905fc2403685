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
		t.Error("the second call joined the first although the other endpoint was idle")
	}
}

// In a subset of two the draw takes both endpoints, and a coin for ties gave both the same, whatever their
// weights.
func TestTiesAreBrokenByWeight(t *testing.T) {
	s := settings()
	s.Instances = 40
	h := start(t, s, 0)
	h.b.Targets(h.now, List{Kind: FullList, Version: 2, Entries: []Entry{{Endpoint: 1, Weight: 9}, {Endpoint: 2, Weight: 1}}})
	if got := h.serve(400, nil); got[2] < 20 || got[2] > 70 {
		t.Errorf("%v sends, want a tenth to the endpoint of a tenth of the weight", got)
	}
}

// With machines of two speeds in a list without weights, the slow ones got as many calls as the fast ones
// and were overloaded.
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
		t.Errorf("fast machines got %d calls and slow ones %d, want three times as many", got[0], got[1])
	}
}

// A list with an impossible weight is taken as one without weights: all endpoints are called, as equals.
func TestImplausibleWeightsAreIgnored(t *testing.T) {
	for _, odd := range []float64{1e308, math.Inf(1), math.NaN(), -1, 0} {
		h := start(t, settings(), 4)
		h.applyDelta(3, Entry{Endpoint: 2, Weight: odd})
		got := h.serve(200, nil)
		for id := EndpointID(1); id <= 4; id++ {
			if got[id] < 20 {
				t.Errorf("weight %v: calls %v", odd, got)
			}
		}
	}
}

// Where the only endpoint that is not ejected is the one at which a request has just failed, the request
// goes there again or ends: nothing could change that, so it is not queued until its deadline is near.
func TestRetryUsesLastHealthyEndpointOrEnds(t *testing.T) {
	for _, status := range []Status{Error, InvalidResponse, Reset, ConnectFailed} {
		h := start(t, settings(), 2)
		h.serve(60, nil)
		for range 30 {
			h.request(read)
			at := len(h.sent) - 1
			for ; at < len(h.sent); at++ {
				h.reportOutcome(h.sent[at], status, 10*ms)
			}
			h.advance(100 * ms)
			for ; at < len(h.sent); at++ { // a trial, or what waited a moment
				h.reportOutcome(h.sent[at], status, 10*ms)
			}
			if len(h.b.queue) > 0 {
				t.Errorf("%v: %s is held after %d attempts, with none out", status, h.b.queue[0].id, h.b.queue[0].attempts)
				break
			}
		}
	}
}
