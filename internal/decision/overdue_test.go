package decision

import (
	"testing"
)

// An endpoint that answers some calls and loses others is not silent. Its lost calls are retried after later
// calls have overtaken them, and stop counting in the limit before that. An unsafe call is not retried.
func TestLostCallIsRetried(t *testing.T) {
	h := start(t, settings(), 4)
	h.serve(60, nil)
	lost := map[RequestID]sentCall{}
	callsTo1, retries := 0, 0
	for range 200 {
		h.request(read)
		s := h.last()
		if s.to == 1 {
			callsTo1++
		}
		if s.to == 1 && callsTo1%2 == 0 {
			lost[s.id] = s
		} else {
			h.reportOutcome(s, OK, 20*ms)
		}
		h.advance(20 * ms)
		for _, c := range h.cancels {
			s, ok := lost[c.id]
			if !ok {
				t.Fatalf("%s is withdrawn, but was not lost or has already been sent again", c.id)
			}
			delete(lost, c.id)
			h.reportOutcome(s, Cancelled, 150*ms)
			if retry := h.last(); retry.id != c.id || retry.to == s.to {
				t.Fatalf("%s is not sent to another endpoint: %v", c.id, retry)
			}
			retries++
			h.reportOutcome(h.last(), OK, 20*ms)
		}
		h.cancels = nil
	}
	if retries < 3 || len(lost) > 4 {
		t.Errorf("%d lost calls sent again, %d still in flight, want at least 3 and at most 4", retries, len(lost))
	}
	id := h.request(pay)
	for range 40 {
		h.advance(20 * ms)
		h.request(read)
		h.reportOutcome(h.last(), OK, 20*ms)
	}
	r := h.b.requests[id]
	if h.attempts[id] != 1 || r == nil || !r.overdue || r.withdrawn || h.b.overdueCalls == 0 {
		t.Errorf("unsafe call: %d attempts, %+v, want one attempt that is overdue", h.attempts[id], r)
	}
}

// A single call that is long overdue is retried, unless earlier overdue calls were only slow and were
// answered late.
func TestMissingCallIsRetriedUnlessCallsAreSlow(t *testing.T) {
	for _, slowCalls := range []int{0, 4} {
		h := start(t, settings(), 4)
		h.serve(200, nil)
		overdue := func(tails float64) sentCall {
			h.request(read)
			call, c := h.last(), &h.b.classes[read]
			for end := h.now + seconds(tails*c.tailRatio*c.meanLatency); h.now < end; {
				h.serve(1, nil)
			}
			h.advance(10 * ms)
			return call
		}
		for range slowCalls {
			call := overdue((overdueLostTails + overdueMissingTails) / 2)
			h.reportOutcome(call, OK, 10*ms)
		}
		call := overdue(1.2 * overdueMissingTails)
		if got, want := len(h.cancels) == 1 && h.cancels[0].id == call.id, slowCalls == 0; got != want {
			t.Errorf("after %d slow calls: withdrawn %v", slowCalls, h.cancels)
		}
	}
}
