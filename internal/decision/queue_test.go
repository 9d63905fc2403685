package decision

import (
	"slices"
	"testing"
	"time"
)

// Overloaded endpoints fail: the excess waits here, and what cannot be served in time is refused early.
func TestOverloadIsQueuedAndRefusedEarly(t *testing.T) {
	h := start(t, settings(), 2)
	h.serve(200, nil)
	at := len(h.sent)
	for range 200 {
		h.request(read)
	}
	if out := len(h.sent) - at; out > 20 {
		t.Errorf("%d of a burst of 200 were sent at once to 2 endpoints", out)
	}
	h.advance(1100 * ms)
	if len(h.refusals) < 100 {
		t.Errorf("%d refused by their aim, want nearly all", len(h.refusals))
	}
}

// Queued requests are sent in the order of what they add to the site's score: by value and, for the class
// that is served worst, by that goal.
func TestMostValuableClassIsSentFirstUnlessWorstServedCountsMore(t *testing.T) {
	released := func(worstClass float64) (first [3]int) {
		s := settings()
		s.Classes[pay].Value, s.GoalTotal, s.GoalWorstClass = 5, 1, worstClass
		h := start(t, s, 1)
		class := map[RequestID]int{}
		for i := range 60 { // both are known, and read is served a little worse
			h.reportOutcome(sentCall{id: h.request(pay), to: 1}, OK, 100*ms)
			h.request(read)
			h.reportOutcome(h.last(), OK, 100*ms)
			if i%10 == 0 {
				h.b.countRequest(h.now, &h.b.classes[read])
			}
			h.advance(100 * ms)
		}
		for range 40 {
			class[h.request(read)] = read
			class[h.request(pay)] = pay
		}
		at := len(h.sent)
		for _, x := range slices.Clone(h.b.listed[0].calls) {
			h.reportOutcome(sentCall{id: x.id, to: 1}, OK, 100*ms)
		}
		for _, x := range h.sent[at:] {
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
	h := start(t, s, 1)
	for range 60 {
		h.request(read)
		h.advance(300 * ms)
		h.reportOutcome(h.last(), OK, 300*ms)
	}
	for len(h.b.queue) == 0 {
		h.request(read)
	}
	asked := h.now
	if len(h.refusals) > 0 {
		t.Fatal("refused though it could be served in time")
	}
	for len(h.refusals) == 0 {
		h.advance(10 * ms)
	}
	if left := asked + 1500*ms - h.now; left < 200*ms {
		t.Errorf("refused %v before its time was up, and an answer takes 300ms", left)
	}
	if h.retryAfters[0] < time.Second {
		t.Errorf("told to come back after %v, having waited %v in vain", h.retryAfters[0], h.now-asked)
	}
}

// A request that no endpoint may serve is finished at once, and a refusal states when to return: it is not
// queued until its deadline is near.
func TestNoRequestIsQueuedInVain(t *testing.T) {
	all := func(h *harness, s State) {
		l := List{Kind: DeltaList, Version: 3}
		for id := EndpointID(1); id <= 4; id++ {
			l.Entries = append(l.Entries, Entry{Endpoint: id, Cell: int(id-1) / 2, State: s})
		}
		h.b.Targets(h.now, l)
	}
	held := func(h *harness) RequestID {
		for {
			if id := h.request(read); len(h.b.queue) > 0 {
				return h.b.queue[0].id
			} else if h.b.requests[id] == nil {
				t.Fatal("nothing is ever held")
			}
		}
	}
	for name, c := range map[string]struct {
		play func(h *harness) RequestID
		fail bool // it may have run, so that it must not be refused
	}{
		"no list": {func(h *harness) RequestID {
			h.b.Targets(h.now, List{Kind: FullList, Version: 3})
			return h.request(read)
		}, false},
		"all drain":           {func(h *harness) RequestID { all(h, Draining); return h.request(read) }, false},
		"all are gone":        {func(h *harness) RequestID { all(h, Departed); return h.request(pay) }, false},
		"all drain, it waits": {func(h *harness) RequestID { id := held(h); all(h, Draining); return id }, false},
		"all go, it waits":    {func(h *harness) RequestID { id := held(h); all(h, Departed); return id }, false},
		"its only one drains": {func(h *harness) RequestID {
			id := h.request(read)
			s := h.last()
			all(h, Draining)
			h.reportOutcome(s, Rejected, 10*ms)
			return id
		}, false},
		"its cell drains": {func(h *harness) RequestID {
			id := h.request(book)
			s := h.last()
			cell := (s.to - 1) / 2
			for v := range EndpointID(2) {
				h.applyDelta(uint64(3+v), Entry{Endpoint: 2*cell + 1 + v, Cell: int(cell), State: Draining})
			}
			h.reportOutcome(s, Error, 10*ms)
			return id
		}, true},
		"its window is over": {func(h *harness) RequestID {
			id := h.request(book)
			s := h.last()
			h.advance(400 * ms)
			h.reportOutcome(s, Error, 400*ms)
			return id
		}, true},
	} {
		for _, marks := range []bool{false, true} {
			s := settings()
			s.ClientsMarkRetries, s.MaxRetryAfter = marks, 2*time.Second
			s.Classes[read].LateValue, s.Classes[book].LateValue = 0.5, 0.5
			s.Classes[book].Window = 300 * ms
			h := start(t, s, 4)
			id := c.play(h)
			switch r := h.b.requests[id]; {
			case r != nil && r.queued:
				t.Errorf("%s, marks %v: it is held, with %v left", name, marks, r.deadline-h.now)
			case c.fail != slices.Contains(h.fails, id) || c.fail == slices.Contains(h.refusals, id):
				t.Errorf("%s, marks %v: failed %v, refused %v", name, marks, h.fails, h.refusals)
			}
			for i, after := range h.retryAfters {
				if after <= 0 || after > s.MaxRetryAfter {
					t.Errorf("%s, marks %v: %s is told to come back after %v", name, marks, h.refusals[i], after)
				}
			}
		}
	}
}
