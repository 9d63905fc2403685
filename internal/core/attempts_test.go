package core

import (
	"testing"
	"time"

	"dykering/internal/decision"
)

// A keyed call may only be retried within the endpoints' deduplication window after its first attempt. Its retry therefore
// has a send deadline (SendBy) inside that window, and no other attempt has one.
func TestKeyedRetryHasSendBound(t *testing.T) {
	for _, class := range []int{read, keyed} {
		tl := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
		tl.send = func(_ *Attempt, n int) Result { return []Result{{Status: decision.Error}, tl.served("again")}[n-1] }
		c := tl.submit("x", class)
		if got := tl.finalAnswer(c); got != "again" {
			t.Errorf("answer %q, want %q", got, "again")
		}
		first, second := tl.sends[c.ID][0], tl.sends[c.ID][1]
		window := tl.loop.config.Settings.Classes[class].Window
		if !first.SendBy.IsZero() || second.SendBy.IsZero() != (class == read) || second.SendBy.After(first.sentAt.Add(window)) {
			t.Errorf("class %d: send deadlines %v and %v, first attempt sent at %v", class, first.SendBy, second.SendBy, first.sentAt)
		}
	}
}

// TWICE: a retry under a key was sent after the endpoints' deduplication window, because its bound counted from a moment after the
// event when the process got no processor time in between.
func TestSendBoundCountsFromTheEvent(t *testing.T) {
	l := newTestLoop(t, nil, ready("s-1", 0)).loop
	const late, within = 50 * time.Millisecond, time.Second
	bound := query(l, func() time.Duration {
		l.eventTime = l.clock() - late // the event was handled late
		return time.Until(l.sendBy(within))
	})
	if bound > within-late {
		t.Errorf("the bound ends in %v, more than %v after the event", bound, within)
	}
}

// A complete response and a response that is still being received are both delivered to their calls. A response to an
// abandoned call is discarded.
func TestResponseIsDeliveredOrDiscarded(t *testing.T) {
	proceed := make(chan bool)
	tl := newTestLoop(t, nil, ready("s-1", 0))
	tl.send = func(a *Attempt, _ int) Result {
		switch a.Call.Message {
		case "long":
			if _, ok := a.StartResponse(textResponse{"started", tl.discarded}); !ok {
				t.Error("StartResponse reports a timeout")
			}
			<-proceed
			return Result{Status: decision.OK}
		case "abandoned":
			<-a.Ctx.Done()
			return tl.served("too late")
		}
		return tl.served("whole")
	}
	if got := tl.finalAnswer(tl.submit("short", once)); got != "whole" {
		t.Errorf("answer %q, want %q", got, "whole")
	}
	if got := tl.finalAnswer(tl.submit("long", once)); got != "started" {
		t.Errorf("answer %q, want %q", got, "started")
	}
	tl.waitFor("the long response to be in flight", func(s Stats) bool { return s.Calls == 1 && s.Attempts == 1 })
	proceed <- true
	abandoned := tl.submit("abandoned", once)
	tl.waitFor("the attempt to be in flight", func(s Stats) bool { return s.Attempts == 1 })
	tl.loop.Abandon(abandoned)
	if got := <-tl.discarded; got != "too late" {
		t.Errorf("discarded response %q, want %q", got, "too late")
	}
	tl.waitFor("all calls to be removed", func(s Stats) bool { return s.Calls+s.Attempts == 0 })
	if len(abandoned.Answered) > 0 {
		t.Error("an abandoned call was answered")
	}
}
