package core

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"dykering/internal/decision"
)

// Every way in which an attempt can end gives one final answer, retries only as the class allows, and
// leaves nothing behind.
func TestEachOutcomeGivesOneAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		first      Result
		read, once string // final answer, and
		reads      int    // attempts
		onces      int
	}{
		"error":          {Result{Status: decision.Error}, "again", "failed", 2, 1},
		"full":           {Result{Status: decision.Rejected}, "again", "again", 2, 2},
		"time-out":       {Result{Status: decision.Timeout}, "again", "failed", 2, 1},
		"connect failed": {Result{Status: decision.ConnectFailed}, "again", "again", 2, 2},
		"reset":          {Result{Status: decision.Reset}, "again", "failed", 2, 1},
		"cancelled":      {Result{Status: decision.Cancelled}, "again", "failed", 2, 1},
		"moot":           {Result{Status: decision.NotSent}, "again", "again", 2, 2},
		"spoilt":         {Result{Status: decision.InvalidResponse}, "again", "failed", 2, 1},
		"full, spent":    {Result{Status: decision.Rejected, NotReplayable: true}, "refused", "refused", 1, 1},
		"error, spent":   {Result{Status: decision.Error, NotReplayable: true}, "refused", "failed", 1, 1},
	} {
		for class, want := range []string{tc.read, tc.once} {
			b := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
			b.send = func(_ *Attempt, n int) Result {
				if n == 1 {
					return tc.first
				}
				return b.served("again")
			}
			c := b.submit(fmt.Sprint(name, class), class)
			if got := b.finalAnswer(c); got != want {
				t.Errorf("%s, class %d: %s, want %s", name, class, got, want)
			}
			b.waitFor("it is forgotten", func(s Stats) bool { return s.Calls+s.Attempts == 0 && s.Conns == s.IdleConns })
			b.mu.Lock()
			if got, most := len(b.sends[c.ID]), []int{tc.reads, tc.onces}[class]; got != most {
				t.Errorf("%s, class %d: %d attempts, want %d", name, class, got, most)
			}
			b.mu.Unlock()
		}
	}
}

// A call with an id that is in use, or was a short while ago, gets an answer without a promise about
// retries, and never runs.
func TestRepeatedIDIsAnsweredWithoutPromise(t *testing.T) {
	goOn := make(chan bool)
	b := newTestLoop(t, nil, ready("s-1", 0))
	b.send = func(_ *Attempt, _ int) Result { <-goOn; return b.served("ok") }
	first := b.submit("x", read)
	if got := b.finalAnswer(b.submit("x", read)); got != "failed" {
		t.Error(got)
	}
	goOn <- true
	if got := b.finalAnswer(first); got != "ok" {
		t.Error(got)
	}
	b.waitFor("it is forgotten", func(s Stats) bool { return s.Calls == 0 })
	if got := b.finalAnswer(b.submit("x", read)); got != "failed" || len(b.sends["x"]) != 1 {
		t.Errorf("%s after %d sends", got, len(b.sends["x"]))
	}
	var held []*Call
	for i := range 51 {
		held = append(held, b.submit(fmt.Sprint(i), read))
	}
	if got := b.finalAnswer(held[50]); got != "refused" {
		t.Errorf("beyond the cap: %s", got)
	}
	close(goOn)
	for _, c := range held[:50] {
		b.finalAnswer(c)
	}
}

// A call whose client has gone is cancelled at once, and forgotten.
func TestAbandonedCallIsCancelledAndForgotten(t *testing.T) {
	out, calledOff := make(chan bool, 1), make(chan bool, 1)
	b := newTestLoop(t, func(a *Attempt, _ int) Result {
		out <- true
		select {
		case <-a.Ctx.Done():
			calledOff <- true
		case <-time.After(2 * time.Second):
			calledOff <- false
		}
		return Result{Status: decision.Cancelled}
	}, ready("s-1", 0))
	c := b.submit("1", once)
	<-out
	b.loop.Abandon(c)
	if !<-calledOff {
		t.Error("its client has gone, and the attempt goes on")
	}
	b.waitFor("the call is forgotten", func(s Stats) bool { return s.Calls == 0 })
}

// When its process ends a call is answered, and its attempt is cancelled.
func TestDrainAnswersCallsAndCancelsAttempts(t *testing.T) {
	b := newTestLoop(t, nil, ready("s-1", 0))
	b.send = func(a *Attempt, _ int) Result {
		<-a.Ctx.Done()
		if !errors.Is(context.Cause(a.Ctx), context.Canceled) {
			return Result{Status: decision.Timeout}
		}
		return Result{Status: decision.Cancelled}
	}
	calls := []*Call{b.submit("r", read), b.submit("o", once)}
	b.waitFor("they are out", func(s Stats) bool { return s.Attempts == 2 })
	end := time.Now().Add(50 * time.Millisecond)
	b.loop.Drain(end, true)
	for i, want := range []string{"refused", "failed"} {
		if got := b.finalAnswer(calls[i]); got != want || time.Now().Before(end) {
			t.Errorf("%s, want %s at the end", got, want)
		}
	}
	if got := b.finalAnswer(b.submit("late", read)); got != "refused" {
		t.Error(got)
	}
}

// The ids of finished requests are kept for a while, and a bounded number of them.
func TestRecentIDsAreBounded(t *testing.T) {
	var past recentIDs
	for i := range 3 * maxRecentIDs {
		past.add(decision.RequestID(fmt.Sprint(i)), 0)
	}
	past.add("last", 2*recentIDTTL)
	if len(past.endedAt) != 1 || len(past.order) != 1 || past.contains("1", 2*recentIDTTL) || !past.contains("last", 2*recentIDTTL) {
		t.Errorf("%d ids are kept", len(past.endedAt))
	}
}
