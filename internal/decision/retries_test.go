package decision

import (
	"slices"
	"testing"
	"time"
)

func TestUnsafeIsNeverSentTwice(t *testing.T) {
	h := start(t, settings(), 3)
	id := h.request(pay)
	h.reportOutcome(h.last(), Error, ms)
	if len(h.sent) != 1 || !slices.Equal(h.fails, []RequestID{id}) || len(h.refusals) > 0 {
		t.Errorf("sent %v, failed %v, refused %v; want one send, then failed", h.sent, h.fails, h.refusals)
	}
	h.request(pay)
	first := h.last()
	h.reportOutcome(first, Rejected, ms)
	if again := h.last(); again.id != first.id || again.attempt != 1 || again.to == first.to {
		t.Errorf("after a call that never ran: %v, want a second attempt elsewhere", again)
	}
}

func TestKeyedRetryStaysInCellAndWindow(t *testing.T) {
	h := start(t, settings(), 6)
	h.request(book)
	first := h.last()
	h.reportOutcome(first, Error, ms)
	if again := h.last(); again.attempt != 1 || (again.to-1)/2 != (first.to-1)/2 {
		t.Fatalf("retry %v of %v left the cell", again, first)
	} else if first.within != 0 || again.within <= 0 || ms+again.within > h.b.settings.Classes[book].Window {
		t.Errorf("first %v, retry %v: want the retry bound by what is left of the window", first, again)
	}
	s := settings()
	s.Classes[book].Window = 100 * ms
	h = start(t, s, 6)
	id := h.request(book)
	h.advance(200 * ms)
	h.reportOutcome(h.last(), Error, 200*ms)
	h.advance(3 * time.Second)
	if len(h.sent) != 1 || !slices.Equal(h.fails, []RequestID{id}) || len(h.refusals) > 0 {
		t.Errorf("sent %v, failed %v, refused %v; want no retry past the window, then failed", h.sent, h.fails, h.refusals)
	}
}

// Retries that an outage sets off must not multiply the load.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	h := start(t, settings(), 4)
	got := h.serve(500, func(EndpointID) Status { return Error })
	total := 0
	for _, n := range got {
		total += n
	}
	if total > 500+maxRetryTokens+1 {
		t.Errorf("%d sends for 500 requests that all fail", total)
	}
}

// A refused client is told to return once what is queued now has been answered, and never later than it
// would obey.
func TestRefusalsStateRetryAfter(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 2 * time.Second
	for _, burst := range []int{200, 20000} {
		h := start(t, s, 2)
		h.serve(200, nil)
		rate := h.b.answerRate.value(h.now, h.b.rateWindow)
		for range burst {
			h.request(read)
		}
		if len(h.refusals) == 0 {
			t.Fatalf("nothing of a burst of %d was refused", burst)
		}
		queue := seconds(float64(len(h.b.queue)) / rate)
		for _, after := range h.retryAfters {
			if after > s.MaxRetryAfter || after < min(queue, s.MaxRetryAfter) {
				t.Fatalf("of a burst of %d: come back after %v, want %v to work off what is held", burst, after, queue)
			}
		}
	}
	h := start(t, s, 2)
	h.b.Request(h.now, Request{ID: "late", Class: read})
	if !slices.Equal(h.retryAfters, []time.Duration{h.b.rateWindow}) {
		t.Errorf("advice %v where no rate is known yet", h.retryAfters)
	}
	h = start(t, s, 2)
	h.serve(200, nil)
	h.b.Request(h.now, Request{ID: "late", Class: read})
	if len(h.retryAfters) != 1 || h.retryAfters[0] < seconds(minRetryAfterWindows*h.b.rateWindow.Seconds()) {
		t.Errorf("advice %v where nothing waits", h.retryAfters)
	}
}

// However often an attempt has never run, a request has a bounded number of attempts and then its answer,
// also where the platform names no bound.
func TestAttemptsOfRequestAreBounded(t *testing.T) {
	for _, status := range []Status{Rejected, ConnectFailed, NotSent} {
		for most, want := range map[int]int{4: 4, 0: maxRetryTokens} {
			s := settings()
			s.MaxAttempts = most
			h := start(t, s, 3)
			id := h.request(pay)
			for at := 0; at < len(h.sent) && at <= 100; at++ {
				h.reportOutcome(h.sent[at], status, ms)
				h.advance(10 * ms)
			}
			if got := h.attempts[id]; got > want || len(h.refusals) != 1 {
				t.Errorf("%v with a bound of %d: %d attempts, refused %v", status, most, got, h.refusals)
			}
		}
	}
}
