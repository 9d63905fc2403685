package decision

import (
	"slices"
	"testing"
	"time"
)

// A base latency learned from the first answers, which are those of short calls, kept nearly all requests
// in the queue.
func TestFirstShortAnswersDoNotSetTheLimit(t *testing.T) {
	d := start(t, settings(), 10)
	for i := range 40 {
		d.request(read)
		d.finish(d.last(), OK, time.Duration(1+i%3)*ms)
	}
	if at := len(d.sent); true {
		for range 40 {
			d.request(read)
		}
		if n := len(d.sent) - at; n < 40 {
			t.Errorf("%d of 40 sent at once to 10 endpoints, want all", n)
		}
	}
}

// Stuck calls lower the answer rate; a limit without a floor would follow it down for good.
func TestLimitRecoversFromStuckCalls(t *testing.T) {
	d := start(t, settings(), 6)
	d.serve(100, nil)
	d.advance(30 * time.Second)
	at := len(d.sent)
	for range 6 {
		d.request(read)
	}
	if n := len(d.sent) - at; n < 6 {
		t.Errorf("%d of 6 sent after a long pause, want all", n)
	}
}

// When most endpoints leave, the few that are left get no more than they could bear before, at once: what
// the whole tier had would overload them.
func TestLimitFollowsEndpointsInService(t *testing.T) {
	s := settings()
	s.Classes[read].Deadline = time.Minute
	d := start(t, s, 8)
	for range 400 { // 16 calls at a time, so that the limit rests on a full tier
		for len(d.b.requests) < 16 {
			d.request(read)
		}
		out := slices.Clone(d.b.listed[0].calls)
		for _, e := range d.b.listed[1:] {
			out = append(out, e.calls...)
		}
		d.advance(20 * ms)
		for _, r := range out {
			d.finish(sent{id: r.id, to: r.current.id, attempt: r.attempts - 1}, OK, 20*ms)
		}
	}
	before := d.b.inFlightLimit
	for id := EndpointID(1); id < 8; id++ {
		d.list(Entry{Endpoint: id, State: Draining})
	}
	d.request(read)
	if d.b.inFlightLimit > before/2 {
		t.Errorf("the limit is %.1f for one endpoint and was %.1f for eight", d.b.inFlightLimit, before)
	}
}

// With many instances each has a call or two in flight: a tier filled up, every endpoint was overloaded,
// and no limit on calls in flight held anything back. Latency far above what it should be must slow the
// sends.
func TestLatencyPressurePacesSendsWhereInstancesOutnumberEndpoints(t *testing.T) {
	sends := func(instances int, took time.Duration) int {
		s := settings()
		s.Instances = instances
		d := start(t, s, 10)
		at := 0
		for i := range 240 {
			if i == 40 {
				at = len(d.sent)
			}
			n := len(d.sent)
			d.request(read)
			if len(d.sent) > n {
				if i > 40 {
					d.finish(d.last(), OK, took)
				} else {
					d.finish(d.last(), OK, 100*ms)
				}
			}
			d.advance(100 * ms)
		}
		return len(d.sent) - at
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
