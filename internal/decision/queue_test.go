package decision

import (
	"slices"
	"testing"
	"time"
)

// Overloaded endpoints fail: the excess waits here, and what cannot be served in time is refused early.
func TestOverloadIsQueuedAndRefusedEarly(t *testing.T) {
	d := start(t, settings(), 2)
	d.serve(200, nil)
	at := len(d.sent)
	for range 200 {
		d.request(read)
	}
	if out := len(d.sent) - at; out > 20 {
		t.Errorf("%d of a burst of 200 were sent at once to 2 endpoints", out)
	}
	d.advance(1100 * ms)
	if len(d.refusals) < 100 {
		t.Errorf("%d refused by their aim, want nearly all", len(d.refusals))
	}
}

// Queued requests are sent in the order of what they add to the site's score: by value and, for the class
// that is served worst, by that goal.
func TestMostValuableClassIsSentFirstUnlessWorstServedCountsMore(t *testing.T) {
	released := func(worstClass float64) (first [3]int) {
		s := settings()
		s.Classes[pay].Value, s.GoalTotal, s.GoalWorstClass = 5, 1, worstClass
		d := start(t, s, 1)
		class := map[RequestID]int{}
		for i := range 60 { // both are known, and read is served a little worse
			d.finish(sent{id: d.request(pay), to: 1}, OK, 100*ms)
			d.request(read)
			d.finish(d.last(), OK, 100*ms)
			if i%10 == 0 {
				d.b.countRequest(d.now, &d.b.classes[read])
			}
			d.advance(100 * ms)
		}
		for range 40 {
			class[d.request(read)] = read
			class[d.request(pay)] = pay
		}
		at := len(d.sent)
		for _, x := range slices.Clone(d.b.listed[0].calls) {
			d.finish(sent{id: x.id, to: 1}, OK, 100*ms)
		}
		for _, x := range d.sent[at:] {
			first[class[x.id]]++
		}
		return first
	}
	if n := released(0); n[pay] == 0 || n[read] > 0 {
		t.Errorf("released %d dear calls and %d cheap ones by worth alone, want dear ones only", n[pay], n[read])
	}
	if n := released(50); n[read] == 0 || n[pay] > 0 {
		t.Errorf("released %d dear calls and %d of the class served worst, want the latter only", n[pay], n[read])
	}
}

// A queued request is refused as soon as it can no longer be answered in time, not at its deadline.
func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	s := settings()
	s.Classes[read].LateValue, s.MaxRetryAfter = 0.5, time.Second
	d := start(t, s, 1)
	for range 60 {
		d.request(read)
		d.advance(300 * ms)
		d.finish(d.last(), OK, 300*ms)
	}
	for len(d.b.queue) == 0 {
		d.request(read)
	}
	asked := d.now
	if len(d.refusals) > 0 {
		t.Fatal("refused though it could be served in time")
	}
	for len(d.refusals) == 0 {
		d.advance(10 * ms)
	}
	if left := asked + 1500*ms - d.now; left < 200*ms {
		t.Errorf("refused %v before its time was up, and an answer takes 300ms", left)
	}
	if d.retryAfters[0] < time.Second {
		t.Errorf("told to come back after %v, having waited %v in vain", d.retryAfters[0], d.now-asked)
	}
}

// A request that no endpoint may serve is finished at once, and a refusal states when to return: it is not
// queued until its deadline is near.
func TestNoRequestIsQueuedInVain(t *testing.T) {
	all := func(d *harness, s State) {
		l := List{Kind: DeltaList, Version: 3}
		for id := EndpointID(1); id <= 4; id++ {
			l.Entries = append(l.Entries, Entry{Endpoint: id, Cell: int(id-1) / 2, State: s})
		}
		d.b.Targets(d.now, l)
	}
	held := func(d *harness) RequestID {
		for {
			if id := d.request(read); len(d.b.queue) > 0 {
				return d.b.queue[0].id
			} else if d.b.requests[id] == nil {
				t.Fatal("nothing is ever held")
			}
		}
	}
	for name, c := range map[string]struct {
		play func(d *harness) RequestID
		fail bool // it may have run, so that it must not be refused
	}{
		"no list": {func(d *harness) RequestID {
			d.b.Targets(d.now, List{Kind: FullList, Version: 3})
			return d.request(read)
		}, false},
		"all drain":           {func(d *harness) RequestID { all(d, Draining); return d.request(read) }, false},
		"all are gone":        {func(d *harness) RequestID { all(d, Departed); return d.request(pay) }, false},
		"all drain, it waits": {func(d *harness) RequestID { id := held(d); all(d, Draining); return id }, false},
		"all go, it waits":    {func(d *harness) RequestID { id := held(d); all(d, Departed); return id }, false},
		"its only one drains": {func(d *harness) RequestID {
			id := d.request(read)
			s := d.last()
			all(d, Draining)
			d.finish(s, Rejected, 10*ms)
			return id
		}, false},
		"its cell drains": {func(d *harness) RequestID {
			id := d.request(book)
			s := d.last()
			cell := (s.to - 1) / 2
			for v := range EndpointID(2) {
				d.applyDelta(uint64(3+v), Entry{Endpoint: 2*cell + 1 + v, Cell: int(cell), State: Draining})
			}
			d.finish(s, Error, 10*ms)
			return id
		}, true},
		"its window is over": {func(d *harness) RequestID {
			id := d.request(book)
			s := d.last()
			d.advance(400 * ms)
			d.finish(s, Error, 400*ms)
			return id
		}, true},
	} {
		for _, marks := range []bool{false, true} {
			s := settings()
			s.ClientsMarkRetries, s.MaxRetryAfter = marks, 2*time.Second
			s.Classes[read].LateValue, s.Classes[book].LateValue = 0.5, 0.5
			s.Classes[book].Window = 300 * ms
			d := start(t, s, 4)
			id := c.play(d)
			switch r := d.b.requests[id]; {
			case r != nil && r.queued:
				t.Errorf("%s, marks %v: it is held, with %v left", name, marks, r.deadline-d.now)
			case c.fail != slices.Contains(d.fails, id) || c.fail == slices.Contains(d.refusals, id):
				t.Errorf("%s, marks %v: failed %v, refused %v", name, marks, d.fails, d.refusals)
			}
			for i, after := range d.retryAfters {
				if after <= 0 || after > s.MaxRetryAfter {
					t.Errorf("%s, marks %v: %s is told to come back after %v", name, marks, d.refusals[i], after)
				}
			}
		}
	}
}
