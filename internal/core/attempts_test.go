package core

import (
	"testing"

	"dykering/internal/decision"
)

// A retry of a keyed call that may have run has a time by which its last byte must be sent; no other
// attempt has.
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
			t.Errorf("class %d: out by %v and %v, sent %v", class, first.SendBy, second.SendBy, first.sentAt)
		}
	}
}

// A response that is complete, or whose end is still to come, is delivered to the call; one that nobody
// waits for is discarded.
func TestResponseIsDeliveredOrDiscarded(t *testing.T) {
	goOn := make(chan bool)
	b := newTestLoop(t, nil, ready("s-1", 0))
	b.send = func(a *Attempt, _ int) Result {
		switch a.Call.Message {
		case "long":
			if _, ok := a.StartResponse(textResponse{"begun", b.discarded}); !ok {
				t.Error("out of time")
			}
			<-goOn
			return Result{Status: decision.OK}
		case "left":
			<-a.Ctx.Done()
			return b.served("too late")
		}
		return b.served("whole")
	}
	if got := b.finalAnswer(b.submit("short", once)); got != "whole" {
		t.Error(got)
	}
	if got := b.finalAnswer(b.submit("long", once)); got != "begun" {
		t.Error(got)
	}
	b.waitFor("it is still under way", func(s Stats) bool { return s.Calls == 1 && s.Attempts == 1 })
	goOn <- true
	left := b.submit("left", once)
	b.waitFor("it is out", func(s Stats) bool { return s.Attempts == 1 })
	b.loop.Abandon(left)
	if got := <-b.discarded; got != "too late" {
		t.Error(got)
	}
	b.waitFor("all is forgotten", func(s Stats) bool { return s.Calls+s.Attempts == 0 })
	if len(left.Answered) > 0 {
		t.Error("a client that has gone gets an answer")
	}
}
