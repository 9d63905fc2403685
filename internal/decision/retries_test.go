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
	if retry := h.last(); retry.id != first.id || retry.attempt != 1 || retry.to == first.to {
		t.Errorf("after a call that never ran: %v, want a second attempt at another endpoint", retry)
	}
}

func TestKeyedRetryStaysInCellAndWindow(t *testing.T) {
	h := start(t, settings(), 6)
	h.request(book)
	first := h.last()
	h.reportOutcome(first, Error, ms)
	if retry := h.last(); retry.attempt != 1 || (retry.to-1)/2 != (first.to-1)/2 {
		t.Fatalf("retry %v of %v left the cell", retry, first)
	} else if first.within != 0 || retry.within <= 0 || ms+retry.within > h.b.settings.Classes[book].Window {
		t.Errorf("first %v, retry %v: want the retry bounded by the rest of the window", first, retry)
	}
	s := settings()
	s.Classes[book].Window = 100 * ms
	h = start(t, s, 6)
	id := h.request(book)
	h.advance(200 * ms)
	h.reportOutcome(h.last(), Error, 200*ms)
	h.advance(3 * time.Second)
	if len(h.sent) != 1 || !slices.Equal(h.fails, []RequestID{id}) || len(h.refusals) > 0 {
		t.Errorf("sent %v, failed %v, refused %v; want no retry past the window, then failed",
			h.sent, h.fails, h.refusals)
	}
}

// Retries during an outage must not multiply the load.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	h := start(t, settings(), 4)
	got := h.serve(500, func(EndpointID) Status { return Error })
	total := 0
	for _, n := range got {
		total += n
	}
	if total > 500+maxRetryTokens+1 {
		t.Errorf("%d calls for 500 requests that all fail, want at most %d more", total, int(maxRetryTokens)+1)
	}
}

// A refused client is told to retry when the requests that are queued now have been answered, but not later
// than Settings.MaxRetryAfter.
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
			t.Fatalf("no request of a burst of %d was refused", burst)
		}
		drainTime := seconds(float64(len(h.b.queue)) / rate)
		for _, after := range h.retryAfters {
			if after > s.MaxRetryAfter || after < min(drainTime, s.MaxRetryAfter) {
				t.Fatalf("burst of %d: retry after %v, but the queue is served in %v", burst, after, drainTime)
			}
		}
	}
	h := start(t, s, 2)
	h.b.Request(h.now, Request{ID: "late", Class: read})
	if !slices.Equal(h.retryAfters, []time.Duration{h.b.rateWindow}) {
		t.Errorf("retry after %v without a known answer rate, want one rate window", h.retryAfters)
	}
	h = start(t, s, 2)
	h.serve(200, nil)
	h.b.Request(h.now, Request{ID: "late", Class: read})
	if len(h.retryAfters) != 1 || h.retryAfters[0] < seconds(minRetryAfterWindows*h.b.rateWindow.Seconds()) {
		t.Errorf("retry after %v with an empty queue, want at least the minimum", h.retryAfters)
	}
}

// The number of attempts of a request is bounded even if no attempt ever ran, and even if the site sets no
// limit. The request then gets its final answer.
func TestAttemptsOfRequestAreBounded(t *testing.T) {
	for _, status := range []Status{Rejected, ConnectFailed, NotSent} {
		for maxAttempts, want := range map[int]int{4: 4, 0: maxRetryTokens} {
			s := settings()
			s.MaxAttempts = maxAttempts
			h := start(t, s, 3)
			id := h.request(pay)
			for i := 0; i < len(h.sent) && i <= 100; i++ {
				h.reportOutcome(h.sent[i], status, ms)
				h.advance(10 * ms)
			}
			if got := h.attempts[id]; got > want || len(h.refusals) != 1 {
				t.Errorf("%v with a limit of %d: %d attempts, refused %v", status, maxAttempts, got, h.refusals)
			}
		}
	}
}
