package core

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"dykering/internal/decision"
)

// Each attempt outcome leads to one final answer, causes only the retries that the class of the call allows, and leaves no
// call, attempt or connection behind.
func TestEachOutcomeGivesOneAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		first        Result
		read, once   string // expected answer for a safe and for an unsafe call
		readAttempts int    // expected attempts of the safe call
		onceAttempts int    // expected attempts of the unsafe call
	}{
		"error":                    {Result{Status: decision.Error}, "again", "failed", 2, 1},
		"rejected":                 {Result{Status: decision.Rejected}, "again", "again", 2, 2},
		"timeout":                  {Result{Status: decision.Timeout}, "again", "failed", 2, 1},
		"connect failed":           {Result{Status: decision.ConnectFailed}, "again", "again", 2, 2},
		"reset":                    {Result{Status: decision.Reset}, "again", "failed", 2, 1},
		"cancelled":                {Result{Status: decision.Cancelled}, "again", "failed", 2, 1},
		"not sent":                 {Result{Status: decision.NotSent}, "again", "again", 2, 2},
		"invalid":                  {Result{Status: decision.InvalidResponse}, "again", "failed", 2, 1},
		"rejected, not replayable": {Result{Status: decision.Rejected, NotReplayable: true}, "refused", "refused", 1, 1},
		"error, not replayable":    {Result{Status: decision.Error, NotReplayable: true}, "refused", "failed", 1, 1},
	} {
		for class, want := range []string{tc.read, tc.once} {
			tl := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
			tl.send = func(_ *Attempt, n int) Result {
				if n == 1 {
					return tc.first
				}
				return tl.served("again")
			}
			c := tl.submit(fmt.Sprint(name, class), class)
			if got := tl.finalAnswer(c); got != want {
				t.Errorf("%s, class %d: %s, want %s", name, class, got, want)
			}
			tl.waitFor("the call to be removed", func(s Stats) bool { return s.Calls+s.Attempts == 0 && s.Conns == s.IdleConns })
			tl.mu.Lock()
			if got, want := len(tl.sends[c.ID]), []int{tc.readAttempts, tc.onceAttempts}[class]; got != want {
				t.Errorf("%s, class %d: %d attempts, want %d", name, class, got, want)
			}
			tl.mu.Unlock()
		}
	}
}

// A call whose ID is in use, or was in use a short time ago, is answered as not retryable and is never sent. Calls beyond
// the limit on open calls are refused.
func TestRepeatedIDIsAnsweredAsNotRetryable(t *testing.T) {
	proceed := make(chan bool)
	tl := newTestLoop(t, nil, ready("s-1", 0))
	tl.send = func(_ *Attempt, _ int) Result { <-proceed; return tl.served("ok") }
	first := tl.submit("x", read)
	if got := tl.finalAnswer(tl.submit("x", read)); got != "failed" {
		t.Errorf("answer %q, want %q", got, "failed")
	}
	proceed <- true
	if got := tl.finalAnswer(first); got != "ok" {
		t.Errorf("answer %q, want %q", got, "ok")
	}
	tl.waitFor("the call to be removed", func(s Stats) bool { return s.Calls == 0 })
	if got := tl.finalAnswer(tl.submit("x", read)); got != "failed" || len(tl.sends["x"]) != 1 {
		t.Errorf("answer %q after %d attempts, want \"failed\" after 1", got, len(tl.sends["x"]))
	}
	var open []*Call
	for i := range 51 {
		open = append(open, tl.submit(fmt.Sprint(i), read))
	}
	if got := tl.finalAnswer(open[50]); got != "refused" {
		t.Errorf("call beyond the limit on open calls: %s, want refused", got)
	}
	close(proceed)
	for _, c := range open[:50] {
		tl.finalAnswer(c)
	}
}

// When a client disconnects, the attempt of its call is cancelled at once and the call is removed.
func TestAbandonedCallIsCancelledAndRemoved(t *testing.T) {
	sent, cancelled := make(chan bool, 1), make(chan bool, 1)
	tl := newTestLoop(t, func(a *Attempt, _ int) Result {
		sent <- true
		select {
		case <-a.Ctx.Done():
			cancelled <- true
		case <-time.After(2 * time.Second):
			cancelled <- false
		}
		return Result{Status: decision.Cancelled}
	}, ready("s-1", 0))
	c := tl.submit("1", once)
	<-sent
	tl.loop.Abandon(c)
	if !<-cancelled {
		t.Error("the attempt of an abandoned call was not cancelled")
	}
	tl.waitFor("the call to be removed", func(s Stats) bool { return s.Calls == 0 })
}

// At the drain deadline, calls are answered and their attempts are cancelled. Later calls are refused.
func TestDrainAnswersCallsAndCancelsAttempts(t *testing.T) {
	tl := newTestLoop(t, nil, ready("s-1", 0))
	tl.send = func(a *Attempt, _ int) Result {
		<-a.Ctx.Done()
		if !errors.Is(context.Cause(a.Ctx), context.Canceled) {
			return Result{Status: decision.Timeout}
		}
		return Result{Status: decision.Cancelled}
	}
	calls := []*Call{tl.submit("r", read), tl.submit("o", once)}
	tl.waitFor("both attempts to be in flight", func(s Stats) bool { return s.Attempts == 2 })
	end := time.Now().Add(50 * time.Millisecond)
	tl.loop.Drain(end, true)
	for i, want := range []string{"refused", "failed"} {
		if got := tl.finalAnswer(calls[i]); got != want || time.Now().Before(end) {
			t.Errorf("%s, want %s at the drain deadline", got, want)
		}
	}
	if got := tl.finalAnswer(tl.submit("late", read)); got != "refused" {
		t.Errorf("answer %q, want %q", got, "refused")
	}
}

// The IDs of finished requests expire, and their number is bounded.
func TestRecentIDsAreBounded(t *testing.T) {
	var recent recentIDs
	for i := range 3 * maxRecentIDs {
		recent.add(decision.RequestID(fmt.Sprint(i)), 0)
	}
	recent.add("last", 2*recentIDTTL)
	if len(recent.endedAt) != 1 || len(recent.order) != 1 || recent.contains("1", 2*recentIDTTL) || !recent.contains("last", 2*recentIDTTL) {
		t.Errorf("%d IDs are kept, want 1", len(recent.endedAt))
	}
}
