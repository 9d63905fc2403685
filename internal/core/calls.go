package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
	"dykering/internal/settings"
)

// Answer is the final answer to a call: an endpoint's response, or a refusal or failure of our own.
type Answer struct {
	Response   Response // nil unless it was served
	Retryable  bool     // it has not run, or may run again: trying again is harmless
	RetryAfter time.Duration
}

// Discard lets go of what an answer holds.
func (a Answer) Discard() {
	if a.Response != nil {
		a.Response.Discard()
	}
}

// Call is one request of a front, from its arrival until it is answered and its last attempt has ended. The loop
// owns it from Arrive on; a front waits at Final, and an upstream reads Message.
type Call struct {
	decision.Request
	Message  any         // what an upstream sends
	Answered chan Answer // holds one, so that the loop never waits for a front
	// Deadline is when its attempts end, so that the last byte of its answer is out in time. The loop sets it.
	Deadline time.Time

	attempts int
	attempt  *Attempt
	answered bool
}

// NewCall makes a call.
func NewCall(q decision.Request, message any) *Call {
	return &Call{Request: q, Message: message, Answered: make(chan Answer, 1)}
}

// endBy cuts the time of a call's further attempts; a zero time leaves it.
func (c *Call) limitDeadline(end time.Time) {
	if !end.IsZero() && end.Before(c.Deadline) {
		c.Deadline = end
	}
}

// noRoomFor is how long callers should stay away from an instance that has no room for them, or drains.
const overloadRetryAfter = time.Second

// TurnedAway is the answer to a request that there is no room for, and that the Balancer never hears of.
func RejectedAnswer(s *settings.Settings) Answer {
	return Answer{Retryable: true, RetryAfter: min(overloadRetryAfter, s.MaxRetryAfter)}
}

// Arrive takes a call from its front, that came whole, or with the beginning of a long body, at a time.
func (l *Loop) Submit(c *Call, received time.Time) { l.Post(func() { l.submit(c, received) }) }

func (l *Loop) submit(c *Call, received time.Time) {
	switch limit := l.config.Settings.OpenCap; {
	case l.calls[c.ID] != nil || l.recent.has(c.ID, l.now()):
		c.Answered <- Answer{} // the id is taken: nothing may be promised of it
		return
	case limit > 0 && len(l.calls) >= limit:
		c.Answered <- RejectedAnswer(&l.config.Settings)
		return
	}
	c.Deadline = received.Add(c.Remaining - l.config.Settings.GraceToAnswer)
	c.Remaining = time.Until(c.Deadline) // also where this process ends before: the Balancer knows
	c.limitDeadline(l.drainDeadline)
	l.calls[c.ID] = c
	l.balancer.Request(l.now(), c.Request)
}

// Lapse tells that a call's client has gone: nothing is owed.
func (l *Loop) Abandon(c *Call) { l.Post(func() { l.abandon(c) }) }

func (l *Loop) abandon(c *Call) {
	if l.calls[c.ID] != c || c.answered {
		select {
		case a := <-c.Answered: // crossed the client's going
			a.Discard()
		default:
		}
		return
	}
	c.answered = true
	if c.attempt != nil {
		c.attempt.Cancel() // nobody waits for it any more; its outcome follows
	}
	l.balancer.Abandoned(l.now(), c.ID)
	l.forget(c)
}

// Leave has everything answered by a given time, as the process ends then; succeeded tells whether another one
// serves in its place already. What is out at that time is called off.
func (l *Loop) Drain(end time.Time, succeeded bool) { l.Post(func() { l.drain(end, succeeded) }) }

func (l *Loop) drain(end time.Time, succeeded bool) {
	l.drainDeadline = end
	for _, c := range l.calls {
		c.limitDeadline(end)
	}
	l.balancer.Drain(l.now(), end.Sub(l.origin), succeeded)
	time.AfterFunc(time.Until(end), func() {
		l.Post(func() {
			for _, c := range l.calls {
				// A long answer that has begun goes on for as long as this process does: to cut it off would lose it.
				if c.attempt != nil && !c.answered {
					c.attempt.Cancel()
				}
			}
			for a := range l.adopted {
				if !a.isStreaming() {
					a.Cancel()
				}
			}
		})
	})
}

func (l *Loop) finish(c *Call, a Answer) {
	if c.answered {
		return
	}
	c.answered = true
	if line := l.log.Check(zap.DebugLevel, "call.answered"); line != nil {
		line.Write(append(l.logFields(c), zap.Bool("served", a.Response != nil), zap.Bool("refused", a.Retryable),
			zap.Duration("retry_after", a.RetryAfter))...)
	}
	c.Answered <- a
}

// forget drops a call that nothing is owed to and nothing is out for.
func (l *Loop) forget(c *Call) {
	if c.answered && c.attempt == nil && l.calls[c.ID] == c {
		delete(l.calls, c.ID)
		l.recent.add(c.ID, l.now())
	}
}

func (l *Loop) end(id decision.RequestID, a Answer) {
	if c := l.calls[id]; c != nil {
		l.finish(c, a)
		l.forget(c)
	}
}

// fields are what the log says of a call.
func (l *Loop) logFields(c *Call) []zap.Field {
	f := []zap.Field{zap.String("request", string(c.ID)), zap.String("class", l.config.Settings.Classes[c.Class].Name)}
	if c.Tenant < len(l.config.Settings.Tenants) {
		f = append(f, zap.String("tenant", l.config.Settings.Tenants[c.Tenant].Name))
	}
	return f
}
