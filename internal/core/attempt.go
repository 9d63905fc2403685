package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Attempt is one sending of a call to an endpoint, with its time-out. The upstream's goroutine has it; its methods may be
// called by any.
type Attempt struct {
	Call         *Call
	Endpoint     *Endpoint
	Ctx          context.Context // ends with the time-out, or when the attempt is cancelled
	SendBy       time.Time       // the last byte must be sent by then, or nothing is; zero for no bound
	AnswerWithin time.Duration   // the time that the endpoint is told to answer within, from the sending on

	number   int // of the attempt of its call, from 0
	cancel   context.CancelCauseFunc
	observer AttemptObserver
	phase    atomic.Int32 // an AttemptPhase

	mu        sync.Mutex
	sentAt    time.Time   // start of the time that Elapsed counts
	timer     *time.Timer // cancels at the deadline; nil while a long body is being sent
	streaming bool        // a long response has begun: there is no time-out any more
}

// AttemptPhase is how far an attempt has come, for statistics.
type AttemptPhase int32

// The phases of an attempt.
const (
	PhaseConnecting   AttemptPhase = iota
	PhaseSending                   // the request
	PhaseAwaiting                  // the response
	PhaseReceiving                 // a long response
	AttemptPhaseCount              // number of phases
)

// SetPhase notes how far the attempt has come.
func (a *Attempt) SetPhase(p AttemptPhase) { a.phase.Store(int32(p)) }

// AttemptObserver is notified of an attempt's progress. It is called by the upstream's goroutines and must not block.
type AttemptObserver interface {
	// RequestSent is called when the last byte of a long body was sent.
	RequestSent(*Attempt)
	// StartResponse answers the call with a response whose end is still to come. The response itself reports to the
	// upstream how its delivery ended.
	StartResponse(*Attempt, Response)
}

// NewAttempt makes an attempt that ends at its call's deadline, or after a time-out before that; 0 is none. The time of
// one with a long body begins when the body was sent.
func NewAttempt(c *Call, e *Endpoint, timeout time.Duration, observer AttemptObserver) *Attempt {
	a := &Attempt{Call: c, Endpoint: e, number: c.attempts, sentAt: time.Now(), observer: observer}
	a.Ctx, a.cancel = context.WithCancelCause(context.Background())
	deadline := c.Deadline
	if end := a.sentAt.Add(timeout); timeout != 0 && end.Before(deadline) {
		deadline = end
	}
	if c.LongBody {
		a.AnswerWithin = c.Remaining
		return a
	}
	a.AnswerWithin = time.Until(deadline)
	a.SetDeadline(deadline)
	return a
}

// RequestSent is called when the last byte of a long body was sent: the endpoint's time counts from now on.
func (a *Attempt) RequestSent() {
	a.mu.Lock()
	a.sentAt = time.Now()
	a.mu.Unlock()
	a.observer.RequestSent(a)
}

// StartResponse answers the call with a response whose end is still to come. It is false when the time-out
// has passed; else there is no time-out any more. Took is the time until the response began.
func (a *Attempt) StartResponse(r Response) (took time.Duration, ok bool) {
	a.mu.Lock()
	a.streaming = a.timer == nil || a.timer.Stop()
	took, ok = time.Since(a.sentAt), a.streaming
	a.mu.Unlock()
	if ok {
		a.SetPhase(PhaseReceiving)
		a.observer.StartResponse(a, r)
	}
	return took, ok
}

// Cancel ends the attempt's context.
func (a *Attempt) Cancel() { a.cancel(context.Canceled) }

// Close releases what an attempt that is over holds.
func (a *Attempt) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cancel(context.Canceled)
}

// SetDeadline sets when the attempt times out, unless a long response has begun.
func (a *Attempt) SetDeadline(deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.streaming {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(time.Until(deadline), func() { a.cancel(context.DeadlineExceeded) })
}

// isStreaming reports whether a long response has begun.
func (a *Attempt) isStreaming() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.streaming
}

// Elapsed is the time since the request was sent or, with a long body, since its last byte was.
func (a *Attempt) Elapsed() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.sentAt)
}
