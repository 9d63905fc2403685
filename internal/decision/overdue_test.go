package decision

import (
	"testing"
)

// An endpoint that answers most calls and loses some is not silent. Its lost calls are retried once later
// ones have overtaken them, and leave room for others before; an unsafe call is left alone.
func TestLostCallIsRetried(t *testing.T) {
	h := start(t, settings(), 4)
	h.serve(60, nil)
	lost := map[RequestID]sentCall{}
	atOne, again := 0, 0
	for range 200 {
		h.request(read)
		s := h.last()
		if s.to == 1 {
			atOne++
		}
		if s.to == 1 && atOne%2 == 0 {
			lost[s.id] = s
		} else {
			h.reportOutcome(s, OK, 20*ms)
		}
		h.advance(20 * ms)
		for _, c := range h.cancels {
			s, ok := lost[c.id]
			if !ok {
				t.Fatalf("%s is withdrawn, and was answered or is sent again", c.id)
			}
			delete(lost, c.id)
			h.reportOutcome(s, Cancelled, 150*ms)
			if next := h.last(); next.id != c.id || next.to == s.to {
				t.Fatalf("%s is not sent to another endpoint: %v", c.id, next)
			}
			again++
			h.reportOutcome(h.last(), OK, 20*ms)
		}
		h.cancels = nil
	}
	if again < 3 || len(lost) > 4 {
		t.Errorf("%d lost calls sent again, %d still out", again, len(lost))
	}
	id := h.request(pay)
	for range 40 {
		h.advance(20 * ms)
		h.request(read)
		h.reportOutcome(h.last(), OK, 20*ms)
	}
	if r := h.b.requests[id]; h.attempts[id] != 1 || r == nil || !r.overdue || r.withdrawn || h.b.overdueCalls == 0 {
		t.Errorf("the unsafe call: %d attempts, %+v", h.attempts[id], r)
	}
}

// A single call that is long overdue is retried where such calls are rarely answered late, and left alone
// where they were only slow.
func TestMissingCallIsRetriedUnlessCallsAreSlow(t *testing.T) {
	for _, slow := range []int{0, 4} {
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
		for range slow {
			call := overdue((overdueLostTails + overdueMissingTails) / 2)
			h.reportOutcome(call, OK, 10*ms)
		}
		call := overdue(1.2 * overdueMissingTails)
		if got, want := len(h.cancels) == 1 && h.cancels[0].id == call.id, slow == 0; got != want {
			t.Errorf("after %d slow calls: withdrawn %v", slow, h.cancels)
		}
	}
}
