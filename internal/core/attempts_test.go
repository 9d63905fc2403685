package core

import (
	"testing"

	"dykering/internal/decision"
)

// A keyed call may only be retried within the endpoints' deduplication window after its first attempt. Its retry therefore
// has a send deadline (SendBy) inside that window, and no other attempt has one.
func TestKeyedRetryHasSendBound(t *testing.T) {
	for _, class := range []int{read, keyed} {
		b := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
		b.send = func(_ *Attempt, n int) Result { return []Result{{Status: decision.Error}, b.served("again")}[n-1] }
		c := b.submit("x", class)
		if got := b.finalAnswer(c); got != "again" {
			t.Error(got)
		}
		first, second := b.sends[c.ID][0], b.sends[c.ID][1]
		window := b.loop.config.Settings.Classes[class].Window
		if !first.SendBy.IsZero() || second.SendBy.IsZero() != (class == read) || second.SendBy.After(first.sentAt.Add(window)) {
			t.Errorf("class %d: send deadlines %v and %v, first attempt sent at %v", class, first.SendBy, second.SendBy, first.sentAt)
		}
	}
}

// A complete response and a response that is still being received are both delivered to their calls. A response to an
// abandoned call is discarded.
func TestResponseIsDeliveredOrDiscarded(t *testing.T) {
	proceed := make(chan bool)
	b := newTestLoop(t, nil, ready("s-1", 0))
	b.send = func(a *Attempt, _ int) Result {
		switch a.Call.Message {
		case "long":
			if _, ok := a.StartResponse(textResponse{"started", b.discarded}); !ok {
				t.Error("StartResponse reports a timeout")
			}
			<-proceed
			return Result{Status: decision.OK}
		case "abandoned":
			<-a.Ctx.Done()
			return b.served("too late")
		}
		return b.served("whole")
	}
	if got := b.finalAnswer(b.submit("short", once)); got != "whole" {
		t.Error(got)
	}
	if got := b.finalAnswer(b.submit("long", once)); got != "started" {
		t.Error(got)
	}
	b.waitFor("the long response to be in flight", func(s Stats) bool { return s.Calls == 1 && s.Attempts == 1 })
	proceed <- true
	abandoned := b.submit("abandoned", once)
	b.waitFor("the attempt to be in flight", func(s Stats) bool { return s.Attempts == 1 })
	b.loop.Abandon(abandoned)
	if got := <-b.discarded; got != "too late" {
		t.Error(got)
	}
	b.waitFor("all calls to be removed", func(s Stats) bool { return s.Calls+s.Attempts == 0 })
	if len(abandoned.Answered) > 0 {
		t.Error("an abandoned call was answered")
	}
}
