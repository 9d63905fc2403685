package decision

import (
	"testing"
)

// An endpoint that answers most calls and loses some is not silent. Its lost calls are retried once later
// ones have overtaken them, and leave room for others before; an unsafe call is left alone.
func TestLostCallIsRetried(t *testing.T) {
	d := start(t, settings(), 4)
	d.serve(60, nil)
	lost := map[RequestID]sent{}
	atOne, again := 0, 0
	for range 200 {
		d.request(read)
		s := d.last()
		if s.to == 1 {
			atOne++
		}
		if s.to == 1 && atOne%2 == 0 {
			lost[s.id] = s
		} else {
			d.finish(s, OK, 20*ms)
		}
		d.advance(20 * ms)
		for _, c := range d.cancels {
			s, ok := lost[c.id]
			if !ok {
				t.Fatalf("%s is withdrawn, and was answered or is sent again", c.id)
			}
			delete(lost, c.id)
			d.finish(s, Cancelled, 150*ms)
			if next := d.last(); next.id != c.id || next.to == s.to {
				t.Fatalf("%s is not sent to another endpoint: %v", c.id, next)
			}
			again++
			d.finish(d.last(), OK, 20*ms)
		}
		d.cancels = nil
	}
	if again < 3 || len(lost) > 4 {
		t.Errorf("%d lost calls sent again, %d still out", again, len(lost))
	}
	id := d.request(pay)
	for range 40 {
		d.advance(20 * ms)
		d.request(read)
		d.finish(d.last(), OK, 20*ms)
	}
	if r := d.b.requests[id]; d.attempts[id] != 1 || r == nil || !r.overdue || r.withdrawn || d.b.overdueCalls == 0 {
		t.Errorf("the unsafe call: %d attempts, %+v", d.attempts[id], r)
	}
}

// A single call that is long overdue is retried where such calls are rarely answered late, and left alone
// where they were only slow.
func TestMissingCallIsRetriedUnlessCallsAreSlow(t *testing.T) {
	for _, slow := range []int{0, 4} {
		d := start(t, settings(), 4)
		d.serve(200, nil)
		overdue := func(tails float64) sent {
			d.request(read)
			call, c := d.last(), &d.b.classes[read]
			for end := d.now + seconds(tails*c.tailRatio*c.meanLatency); d.now < end; {
				d.serve(1, nil)
			}
			d.advance(10 * ms)
			return call
		}
		for range slow {
			call := overdue((overdueLostTails + overdueMissingTails) / 2)
			d.finish(call, OK, 10*ms)
		}
		call := overdue(1.2 * overdueMissingTails)
		if got, want := len(d.cancels) == 1 && d.cancels[0].id == call.id, slow == 0; got != want {
			t.Errorf("after %d slow calls: withdrawn %v", slow, d.cancels)
		}
	}
}
