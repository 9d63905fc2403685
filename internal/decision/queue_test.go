package decision

import (
	"slices"
	"testing"
	"time"
)

// Overloaded endpoints fail. Excess requests are therefore queued in the instance, and those that cannot be
// served in time are refused early.
func TestOverloadIsQueuedAndRefusedEarly(t *testing.T) {
	h := start(t, settings(), 2)
	h.serve(200, nil)
	before := len(h.sent)
	for range 200 {
		h.request(read)
	}
	if sends := len(h.sent) - before; sends > 20 {
		t.Errorf("%d of 200 requests were sent at once to 2 endpoints, want at most 20", sends)
	}
	h.advance(1100 * ms)
	if len(h.refusals) < 100 {
		t.Errorf("%d of 200 requests refused by their latency target, want at least 100", len(h.refusals))
	}
}

// Queued requests are sent in the order of their marginal value: by the value of their class, and by the goal
// for the worst-served class.
func TestMostValuableClassIsSentFirstUnlessWorstServedCountsMore(t *testing.T) {
	sentByClass := func(goalWorstClass float64) (sends [3]int) {
		s := settings()
		s.Classes[pay].Value, s.GoalTotal, s.GoalWorstClass = 5, 1, goalWorstClass
		h := start(t, s, 1)
		class := map[RequestID]int{}
		for i := range 60 { // both classes have statistics, and read is served slightly worse
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
		before := len(h.sent)
		for _, r := range slices.Clone(h.b.listed[0].calls) {
			h.reportOutcome(sentCall{id: r.id, to: 1}, OK, 100*ms)
		}
		for _, call := range h.sent[before:] {
			sends[class[call.id]]++
		}
		return sends
	}
	if n := sentByClass(0); n[pay] == 0 || n[read] > 0 {
		t.Errorf("by value alone: %d calls of the valuable class and %d of the other, want 0 of the other",
			n[pay], n[read])
	}
	if n := sentByClass(50); n[read] == 0 || n[pay] > 0 {
		t.Errorf("%d calls of the valuable class and %d of the worst-served one, want only the latter",
			n[pay], n[read])
	}
}

// A queued request is refused as soon as it can no longer be answered in time, and not only at its deadline.
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
	queuedAt := h.now
	if len(h.refusals) > 0 {
		t.Fatal("a request was refused although it could be served in time")
	}
	for len(h.refusals) == 0 {
		h.advance(10 * ms)
	}
	if remaining := queuedAt + 1500*ms - h.now; remaining < 200*ms {
		t.Errorf("refused %v before its deadline, want at least 200ms, as an answer takes 300ms", remaining)
	}
	if h.retryAfters[0] < time.Second {
		t.Errorf("the client is told to retry after %v, want at least 1s; it waited %v",
			h.retryAfters[0], h.now-queuedAt)
	}
}

// A request that no endpoint may serve is finished at once instead of near its deadline, and a refusal states
// when to retry.
func TestNoRequestIsQueuedInVain(t *testing.T) {
	setAll := func(h *harness, s State) {
		l := List{Kind: DeltaList, Version: 3}
		for id := EndpointID(1); id <= 4; id++ {
			l.Entries = append(l.Entries, Entry{Endpoint: id, Cell: int(id-1) / 2, State: s})
		}
		h.b.Targets(h.now, l)
	}
	queueRequest := func(h *harness) RequestID {
		for {
			if id := h.request(read); len(h.b.queue) > 0 {
				return h.b.queue[0].id
			} else if h.b.requests[id] == nil {
				t.Fatal("a request was finished before any was queued")
			}
		}
	}
	for name, c := range map[string]struct {
		submit func(h *harness) RequestID
		fail   bool // the request may have run, so it must not be refused
	}{
		"empty list": {func(h *harness) RequestID {
			h.b.Targets(h.now, List{Kind: FullList, Version: 3})
			return h.request(read)
		}, false},
		"all draining": {func(h *harness) RequestID {
			setAll(h, Draining)
			return h.request(read)
		}, false},
		"all departed": {func(h *harness) RequestID {
			setAll(h, Departed)
			return h.request(pay)
		}, false},
		"all draining, request queued": {func(h *harness) RequestID {
			id := queueRequest(h)
			setAll(h, Draining)
			return id
		}, false},
		"all departed, request queued": {func(h *harness) RequestID {
			id := queueRequest(h)
			setAll(h, Departed)
			return id
		}, false},
		"all draining, call rejected": {func(h *harness) RequestID {
			id := h.request(read)
			s := h.last()
			setAll(h, Draining)
			h.reportOutcome(s, Rejected, 10*ms)
			return id
		}, false},
		"cell of the keyed call draining": {func(h *harness) RequestID {
			id := h.request(book)
			s := h.last()
			cell := (s.to - 1) / 2
			for v := range EndpointID(2) {
				h.applyDelta(uint64(3+v), Entry{Endpoint: 2*cell + 1 + v, Cell: int(cell), State: Draining})
			}
			h.reportOutcome(s, Error, 10*ms)
			return id
		}, true},
		"window of the keyed call over": {func(h *harness) RequestID {
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
			id := c.submit(h)
			switch r := h.b.requests[id]; {
			case r != nil && r.queued:
				t.Errorf("%s, marked retries %v: the request is queued, with %v remaining", name, marks, r.deadline-h.now)
			case c.fail != slices.Contains(h.fails, id) || c.fail == slices.Contains(h.refusals, id):
				t.Errorf("%s, marked retries %v: failed %v, refused %v", name, marks, h.fails, h.refusals)
			}
			for i, after := range h.retryAfters {
				if after <= 0 || after > s.MaxRetryAfter {
					t.Errorf("%s, marked retries %v: %s is told to retry after %v", name, marks, h.refusals[i], after)
				}
			}
		}
	}
}
