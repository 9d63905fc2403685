package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Attempt is one try to send a call to an endpoint, with its timeout. An upstream goroutine carries it out. Its methods
// are safe for concurrent use.
type Attempt struct {
	Call         *Call
	Endpoint     *Endpoint
	Ctx          context.Context // done when the attempt times out or is cancelled
	SendBy       time.Time       // by when the last byte of the request must be sent, or else none is; zero for no bound
	AnswerWithin time.Duration   // time from the sending that the endpoint is given to answer

	number   int // index among the attempts of the call, from 0
	cancel   context.CancelCauseFunc
	observer AttemptObserver
	phase    atomic.Int32 // an AttemptPhase

	mu        sync.Mutex
	sentAt    time.Time   // start of the interval that Elapsed returns
	timer     *time.Timer // cancels the attempt at its deadline; nil while a long body is being sent
	streaming bool        // a long response has begun, so the attempt no longer times out
}

// AttemptPhase is the progress of an attempt. It is used for statistics only.
type AttemptPhase int32

// The phases of an attempt.
const (
	PhaseConnecting   AttemptPhase = iota // obtaining a connection
	PhaseSending                          // sending the request
	PhaseAwaiting                         // waiting for the response
	PhaseReceiving                        // receiving a long response
	AttemptPhaseCount                     // number of phases
)

// SetPhase records the progress of the attempt.
func (a *Attempt) SetPhase(p AttemptPhase) { a.phase.Store(int32(p)) }

// AttemptObserver is notified of the progress of attempts. Upstream goroutines call its methods, which must not block.
type AttemptObserver interface {
	// RequestSent is called when the last byte of a long body has been sent.
	RequestSent(*Attempt)
	// StartResponse answers the call with a response that is still being received. The response itself reports to the
	// upstream how its delivery ended.
	StartResponse(*Attempt, Response)
}

// NewAttempt creates an attempt that times out at the deadline of its call, or after the given timeout if that is earlier.
// A timeout of 0 sets no earlier bound. An attempt with a long body has no deadline until the body has been sent.
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

// RequestSent is called when the last byte of a long body has been sent. Elapsed counts from this moment.
func (a *Attempt) RequestSent() {
	a.mu.Lock()
	a.sentAt = time.Now()
	a.mu.Unlock()
	a.observer.RequestSent(a)
}

// StartResponse answers the call with a response that is still being received, and disables the timeout of the attempt.
// It returns false, and does not answer the call, if the attempt has already timed out. Took is the time from the sending
// of the request to the start of the response.
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

// Close stops the timer and releases the context of an attempt that has ended.
func (a *Attempt) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cancel(context.Canceled)
}

// SetDeadline sets the time at which the attempt times out. It has no effect once a long response has begun.
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

// Elapsed returns the time since the attempt was created or, for a long body, since its last byte was sent.
func (a *Attempt) Elapsed() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.sentAt)
}
