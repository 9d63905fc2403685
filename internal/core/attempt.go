package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Attempt is one sending of a call to an endpoint, with its time.
type Attempt struct {
	Call         *Call
	Endpoint     *Endpoint
	Ctx          context.Context // ends with the time-out, or when the attempt is cancelled
	SendBy       time.Time       // its last byte is out by then, or it does not begin; zero is no bound
	AnswerWithin time.Duration   // what an endpoint is told that its answer is waited for, from the sending on

	number   int
	cancel   context.CancelCauseFunc
	observer AttemptObserver

	phase atomic.Int32

	mu        sync.Mutex
	sentAt    time.Time   // since when its time counts
	timer     *time.Timer // ends it with its time-out; nil while a long body is being sent
	streaming bool        // a long answer is on its way to the caller: it is no longer timed
}

// AttemptPhase is how far an attempt has come.
type AttemptPhase int32

const (
	PhaseConnecting AttemptPhase = iota
	PhaseSending
	PhaseAwaiting  // its answer
	PhaseReceiving // a long answer
	AttemptPhaseCount
)

// At notes how far the attempt has come, for those who look at the process.
func (a *Attempt) SetPhase(p AttemptPhase) { a.phase.Store(int32(p)) }

// AttemptHost is told how far an attempt has come. It is called by the upstream's goroutines, and must not block.
type AttemptObserver interface {
	// Written tells that the last byte of a long body is out.
	RequestSent(*Attempt)
	// Begin gives the call a response whose end is still to come; the upstream is told by the response's own means
	// how its passing on ended.
	StartResponse(*Attempt, Response)
}

// NewAttempt makes an attempt that ends with its call's deadline, or a time-out before that; 0 is none. The time of
// one whose body is long has not begun.
func NewAttempt(c *Call, e *Endpoint, timeout time.Duration, host AttemptObserver) *Attempt {
	a := &Attempt{Call: c, Endpoint: e, number: c.attempts, sentAt: time.Now(), observer: host}
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

// Written tells that the last byte of a long body is out: the endpoint's time counts from now on.
func (a *Attempt) RequestSent() {
	a.mu.Lock()
	a.sentAt = time.Now()
	a.mu.Unlock()
	a.observer.RequestSent(a)
}

// Begin gives the call a response whose end is still to come. It is false when the time-out has passed; else the
// attempt is timed no longer. Took is how long the answer took to begin.
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

// Cancel gives the attempt up.
func (a *Attempt) Cancel() { a.cancel(context.Canceled) }

// Close lets go of what an attempt that is over holds.
func (a *Attempt) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cancel(context.Canceled)
}

// EndAt has the attempt time out.
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

// isBegun tells whether a long answer is on its way to the caller.
func (a *Attempt) isStreaming() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.streaming
}

// Elapsed is the time that counts.
func (a *Attempt) Elapsed() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.sentAt)
}
