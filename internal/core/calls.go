package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
	"dykering/internal/settings"
)

// overloadRetryAfter is how long clients should wait before they retry a request that was rejected for lack of capacity.
const overloadRetryAfter = time.Second

// Answer is the final answer to a call: the response of an endpoint, or a rejection or failure by the sidecar itself.
type Answer struct {
	Response   Response      // nil unless the call was served
	Retryable  bool          // the client may retry: the call has not run, or it is safe to run again
	RetryAfter time.Duration // how long the client should wait before a retry
}

// Discard releases the response, if the answer has one.
func (a Answer) Discard() {
	if a.Response != nil {
		a.Response.Discard()
	}
}

// RejectedAnswer returns the answer to a request that is rejected for lack of capacity before it reaches the Balancer.
func RejectedAnswer(s *settings.Settings) Answer {
	return Answer{Retryable: true, RetryAfter: min(overloadRetryAfter, s.MaxRetryAfter)}
}

// Call is one request from a frontend. It lives until it is answered and its last attempt has ended. The loop owns it from
// Submit on: the frontend may only receive from Answered, and the upstream may only read Message.
type Call struct {
	decision.Request
	Message  any         // protocol message that the upstream sends
	Answered chan Answer // buffered for the single answer, so that the loop never waits for a frontend
	// Deadline is the time at which attempts end. It leaves time to deliver the answer to the client. The loop sets it.
	Deadline time.Time

	attempts   int      // number of attempts started
	attempt    *Attempt // the attempt in flight; nil if there is none
	isAnswered bool     // the call was answered, or its client has abandoned it
}

// NewCall creates a call for Submit.
func NewCall(q decision.Request, message any) *Call {
	return &Call{Request: q, Message: message, Answered: make(chan Answer, 1)}
}

// limitDeadline moves the deadline to end if end is earlier. A zero end leaves the deadline unchanged.
func (c *Call) limitDeadline(end time.Time) {
	if !end.IsZero() && end.Before(c.Deadline) {
		c.Deadline = end
	}
}

// Submit hands a call to the loop. Received is the time at which the request was complete or, for a long body, at which
// the body began.
func (l *Loop) Submit(c *Call, received time.Time) { l.Post(func() { l.submit(c, received) }) }

func (l *Loop) submit(c *Call, received time.Time) {
	switch limit := l.config.Settings.OpenCap; {
	case l.calls[c.ID] != nil || l.recent.contains(c.ID, l.clock()):
		// The ID belongs to another request, and an endpoint may run both, so the answer is not retryable.
		c.Answered <- Answer{}
		return
	case limit > 0 && len(l.calls) >= limit:
		c.Answered <- RejectedAnswer(&l.config.Settings)
		return
	}
	c.Deadline = received.Add(c.Remaining - l.config.Settings.GraceToAnswer)
	// The drain deadline does not shorten Remaining, because the Balancer applies it separately.
	c.Remaining = time.Until(c.Deadline)
	c.limitDeadline(l.drainDeadline)
	l.calls[c.ID] = c
	l.balancer.Request(l.now(), c.Request)
}

// Abandon is called when the client of a call has disconnected. The call needs no answer any more.
func (l *Loop) Abandon(c *Call) { l.Post(func() { l.abandon(c) }) }

func (l *Loop) abandon(c *Call) {
	if l.calls[c.ID] != c || c.isAnswered {
		select {
		case answer := <-c.Answered: // answered while the client disconnected
			answer.Discard()
		default:
		}
		return
	}
	c.isAnswered = true
	if c.attempt != nil {
		c.attempt.Cancel() // attemptEnded still reports its outcome to the Balancer
	}
	l.balancer.Abandoned(l.now(), c.ID)
	l.removeIfDone(c)
}

// Drain makes the loop answer all calls by the time end, at which the process ends. Unanswered attempts that are in flight
// at that time are cancelled. HasSuccessor reports whether another process already serves in place of this one.
func (l *Loop) Drain(end time.Time, hasSuccessor bool) { l.Post(func() { l.drain(end, hasSuccessor) }) }

func (l *Loop) drain(end time.Time, hasSuccessor bool) {
	l.drainDeadline = end
	for _, c := range l.calls {
		c.limitDeadline(end)
	}
	l.balancer.Drain(l.now(), end.Sub(l.origin), hasSuccessor)
	time.AfterFunc(time.Until(end), func() { l.Post(l.cancelUnanswered) })
}

// cancelUnanswered cancels the attempts without a response at the drain deadline. A long response that has begun continues
// until the process exits, because the client would lose a truncated response.
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

// answerCall sends the answer to a call, unless the call already has one or was abandoned.
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

// answerRequest answers the call with the given ID as the Balancer decided, and removes it if it has no attempt in flight.
func (l *Loop) answerRequest(id decision.RequestID, a Answer) {
	if c := l.calls[id]; c != nil {
		l.answerCall(c, a)
		l.removeIfDone(c)
	}
}

// removeIfDone removes a call that is answered and has no attempt in flight, and remembers its ID for a while.
func (l *Loop) removeIfDone(c *Call) {
	if c.isAnswered && c.attempt == nil && l.calls[c.ID] == c {
		delete(l.calls, c.ID)
		l.recent.add(c.ID, l.clock())
	}
}

// logFields returns the log fields that identify a call.
func (l *Loop) logFields(c *Call) []zap.Field {
	f := []zap.Field{zap.String("request", string(c.ID)), zap.String("class", l.config.Settings.Classes[c.Class].Name)}
	if c.Tenant < len(l.config.Settings.Tenants) {
		f = append(f, zap.String("tenant", l.config.Settings.Tenants[c.Tenant].Name))
	}
	return f
}
