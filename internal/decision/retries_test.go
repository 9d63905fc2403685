package decision

import (
	"slices"
	"testing"
	"time"
)

func TestUnsafeIsNeverSentTwice(t *testing.T) {
	d := start(t, settings(), 3)
	id := d.request(pay)
	d.finish(d.last(), Error, ms)
	if len(d.sent) != 1 || !slices.Equal(d.fails, []RequestID{id}) || len(d.refusals) > 0 {
		t.Errorf("sent %v, failed %v, refused %v; want one send, then failed", d.sent, d.fails, d.refusals)
	}
	d.request(pay)
	first := d.last()
	d.finish(first, Rejected, ms)
	if again := d.last(); again.id != first.id || again.attempt != 1 || again.to == first.to {
		t.Errorf("after a call that never ran: %v, want a second attempt elsewhere", again)
	}
}

func TestKeyedRetryStaysInCellAndWindow(t *testing.T) {
	d := start(t, settings(), 6)
	d.request(book)
	first := d.last()
	d.finish(first, Error, ms)
	if again := d.last(); again.attempt != 1 || (again.to-1)/2 != (first.to-1)/2 {
		t.Fatalf("retry %v of %v left the cell", again, first)
	} else if first.within != 0 || again.within <= 0 || ms+again.within > d.b.settings.Classes[book].Window {
		t.Errorf("first %v, retry %v: want the retry bound by what is left of the window", first, again)
	}
	s := settings()
	s.Classes[book].Window = 100 * ms
	d = start(t, s, 6)
	id := d.request(book)
	d.advance(200 * ms)
	d.finish(d.last(), Error, 200*ms)
	d.advance(3 * time.Second)
	if len(d.sent) != 1 || !slices.Equal(d.fails, []RequestID{id}) || len(d.refusals) > 0 {
		t.Errorf("sent %v, failed %v, refused %v; want no retry past the window, then failed", d.sent, d.fails, d.refusals)
	}
}

// Retries that an outage sets off must not multiply the load.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	d := start(t, settings(), 4)
	got := d.serve(500, func(EndpointID) Status { return Error })
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
		d := start(t, s, 2)
		d.serve(200, nil)
		rate := d.b.answerRate.value(d.now, d.b.rateWindow)
		for range burst {
			d.request(read)
		}
		if len(d.refusals) == 0 {
			t.Fatalf("nothing of a burst of %d was refused", burst)
		}
		queue := seconds(float64(len(d.b.queue)) / rate)
		for _, after := range d.retryAfters {
			if after > s.MaxRetryAfter || after < min(queue, s.MaxRetryAfter) {
				t.Fatalf("of a burst of %d: come back after %v, want %v to work off what is held", burst, after, queue)
			}
		}
	}
	d := start(t, s, 2)
	d.b.Request(d.now, Request{ID: "late", Class: read})
	if !slices.Equal(d.retryAfters, []time.Duration{d.b.rateWindow}) {
		t.Errorf("advice %v where no rate is known yet", d.retryAfters)
	}
	d = start(t, s, 2)
	d.serve(200, nil)
	d.b.Request(d.now, Request{ID: "late", Class: read})
	if len(d.retryAfters) != 1 || d.retryAfters[0] < seconds(minRetryAfterWindows*d.b.rateWindow.Seconds()) {
		t.Errorf("advice %v where nothing waits", d.retryAfters)
	}
}

// However often an attempt has never run, a request has a bounded number of attempts and then its answer,
// also where the platform names no bound.
func TestAttemptsOfRequestAreBounded(t *testing.T) {
	for _, status := range []Status{Rejected, ConnectFailed, NotSent} {
		for most, want := range map[int]int{4: 4, 0: maxRetryTokens} {
			s := settings()
			s.MaxAttempts = most
			d := start(t, s, 3)
			id := d.request(pay)
			for at := 0; at < len(d.sent) && at <= 100; at++ {
				d.finish(d.sent[at], status, ms)
				d.advance(10 * ms)
			}
			if got := d.attempts[id]; got > want || len(d.refusals) != 1 {
				t.Errorf("%v with a bound of %d: %d attempts, refused %v", status, most, got, d.refusals)
			}
		}
	}
}
