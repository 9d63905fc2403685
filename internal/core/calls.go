package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
	"dykering/internal/settings"
)

// overloadRetryAfter is how long callers should stay away from an instance that has no capacity for them, or drains.
const overloadRetryAfter = time.Second

// Answer is the final answer to a call: an endpoint's response, or a rejection or failure of our own.
type Answer struct {
	Response   Response // nil unless the call was served
	Retryable  bool     // the call has not run, or may run again: a retry by the client is harmless
	RetryAfter time.Duration
}

// Discard releases what an answer holds.
func (a Answer) Discard() {
	if a.Response != nil {
		a.Response.Discard()
	}
}

// RejectedAnswer is the answer to a request that there is no capacity for and that the Balancer is not asked about.
func RejectedAnswer(s *settings.Settings) Answer {
	return Answer{Retryable: true, RetryAfter: min(overloadRetryAfter, s.MaxRetryAfter)}
}

// Call is one request of a front, until it is answered and its last attempt has ended. The loop owns it from Submit on:
// the front waits at Answered, and the upstream reads Message.
type Call struct {
	decision.Request
	Message  any         // what an upstream sends
	Answered chan Answer // has room for the one answer, so that the loop never waits for a front
	// Deadline is when attempts end, so that the last byte of the answer is sent in time. The loop sets it.
	Deadline time.Time

	attempts   int      // made so far
	attempt    *Attempt // in flight; nil for none
	isAnswered bool     // its answer was given, or its client has gone
}

// NewCall makes a call that can be submitted.
func NewCall(q decision.Request, message any) *Call {
	return &Call{Request: q, Message: message, Answered: make(chan Answer, 1)}
}

// limitDeadline moves the deadline forward to end, if that is earlier; a zero time leaves it.
func (c *Call) limitDeadline(end time.Time) {
	if !end.IsZero() && end.Before(c.Deadline) {
		c.Deadline = end
	}
}

// Submit takes a call from its front. Received is when its request was complete, or the beginning of a long body.
func (l *Loop) Submit(c *Call, received time.Time) { l.Post(func() { l.submit(c, received) }) }

func (l *Loop) submit(c *Call, received time.Time) {
	switch limit := l.config.Settings.OpenCap; {
	case l.calls[c.ID] != nil || l.recent.contains(c.ID, l.now()):
		// The id is another request's: an endpoint may run it twice, so the answer promises nothing.
		c.Answered <- Answer{}
		return
	case limit > 0 && len(l.calls) >= limit:
		c.Answered <- RejectedAnswer(&l.config.Settings)
		return
	}
	c.Deadline = received.Add(c.Remaining - l.config.Settings.GraceToAnswer)
	// The drain deadline does not shorten Remaining: the Balancer knows it by itself.
	c.Remaining = time.Until(c.Deadline)
	c.limitDeadline(l.drainDeadline)
	l.calls[c.ID] = c
	l.balancer.Request(l.now(), c.Request)
}

// Abandon is called when a call's client has gone: no answer is due.
func (l *Loop) Abandon(c *Call) { l.Post(func() { l.abandon(c) }) }

func (l *Loop) abandon(c *Call) {
	if l.calls[c.ID] != c || c.isAnswered {
		select {
		case answer := <-c.Answered: // given while the client was going
			answer.Discard()
		default:
		}
		return
	}
	c.isAnswered = true
	if c.attempt != nil {
		c.attempt.Cancel() // its outcome is still reported
	}
	l.balancer.Abandoned(l.now(), c.ID)
	l.removeIfDone(c)
}

// Drain has all calls answered by a given time, when the process ends. HasSuccessor says that another process already
// serves in its place. Attempts that are in flight at that time are cancelled.
func (l *Loop) Drain(end time.Time, hasSuccessor bool) { l.Post(func() { l.drain(end, hasSuccessor) }) }

func (l *Loop) drain(end time.Time, hasSuccessor bool) {
	l.drainDeadline = end
	for _, c := range l.calls {
		c.limitDeadline(end)
	}
	l.balancer.Drain(l.now(), end.Sub(l.origin), hasSuccessor)
	time.AfterFunc(time.Until(end), func() { l.Post(l.cancelUnanswered) })
}

// cancelUnanswered cancels the attempts that have no answer at the drain deadline. A long response that has begun goes on
// for as long as the process does: to cut it off would lose it.
func (l *Loop) cancelUnanswered() {
	for _, c := range l.calls {
		if c.attempt != nil && !c.isAnswered {
			c.attempt.Cancel()
		}
	}
	for a := range l.adopted {
		if !a.isStreaming() {
			a.Cancel()
		}
	}
}

// answerCall gives a call its answer, unless it has one.
func (l *Loop) answerCall(c *Call, a Answer) {
	if c.isAnswered {
		return
	}
	c.isAnswered = true
	if line := l.log.Check(zap.DebugLevel, "call.answered"); line != nil {
		line.Write(append(l.logFields(c), zap.Bool("served", a.Response != nil), zap.Bool("refused", a.Retryable),
			zap.Duration("retry_after", a.RetryAfter))...)
	}
	c.Answered <- a
}

// answerRequest gives the call of a request its answer, as the Balancer decided.
func (l *Loop) answerRequest(id decision.RequestID, a Answer) {
	if c := l.calls[id]; c != nil {
		l.answerCall(c, a)
		l.removeIfDone(c)
	}
}

// removeIfDone drops a call that is answered and has no attempt in flight.
func (l *Loop) removeIfDone(c *Call) {
	if c.isAnswered && c.attempt == nil && l.calls[c.ID] == c {
		delete(l.calls, c.ID)
		l.recent.add(c.ID, l.now())
	}
}

// logFields identify a call in the log.
func (l *Loop) logFields(c *Call) []zap.Field {
	f := []zap.Field{zap.String("request", string(c.ID)), zap.String("class", l.config.Settings.Classes[c.Class].Name)}
	if c.Tenant < len(l.config.Settings.Tenants) {
		f = append(f, zap.String("tenant", l.config.Settings.Tenants[c.Tenant].Name))
	}
	return f
}
