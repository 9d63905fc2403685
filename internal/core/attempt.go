package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Attempt is one sending of a call to an endpoint, with its time.
type Attempt struct {
	Call     *Call
	Endpoint *Endpoint
	Ctx      context.Context // ends with the time-out, or when the attempt is cancelled
	OutBy    time.Time       // its last byte is out by then, or it does not begin; zero is no bound
	Left     time.Duration   // what an endpoint is told that its answer is waited for, from the sending on

	number int
	end    context.CancelCauseFunc
	host   AttemptHost

	phase atomic.Int32

	mu    sync.Mutex
	sent  time.Time   // since when its time counts
	timer *time.Timer // ends it with its time-out; nil while a long body is being sent
	begun bool        // a long answer is on its way to the caller: it is no longer timed
}

// AttemptPhase is how far an attempt has come.
type AttemptPhase int32

const (
	Connecting AttemptPhase = iota
	Writing
	Awaiting // its answer
	Coming   // a long answer
	AttemptPhases
)

// At notes how far the attempt has come, for those who look at the process.
func (a *Attempt) At(p AttemptPhase) { a.phase.Store(int32(p)) }

// AttemptHost is told how far an attempt has come. It is called by the upstream's goroutines, and must not block.
type AttemptHost interface {
	// Written tells that the last byte of a long body is out.
	Written(*Attempt)
	// Begin gives the call a response whose end is still to come; the upstream is told by the response's own means
	// how its passing on ended.
	Begin(*Attempt, Response)
}

// NewAttempt makes an attempt that ends with its call's deadline, or a time-out before that; 0 is none. The time of
// one whose body is long has not begun.
func NewAttempt(c *Call, e *Endpoint, timeout time.Duration, host AttemptHost) *Attempt {
	a := &Attempt{Call: c, Endpoint: e, number: c.attempts, sent: time.Now(), host: host}
	a.Ctx, a.end = context.WithCancelCause(context.Background())
	deadline := c.Deadline
	if end := a.sent.Add(timeout); timeout != 0 && end.Before(deadline) {
		deadline = end
	}
	if c.LongBody {
		a.Left = c.Remaining
		return a
	}
	a.Left = time.Until(deadline)
	a.EndAt(deadline)
	return a
}

// Written tells that the last byte of a long body is out: the endpoint's time counts from now on.
func (a *Attempt) Written() {
	a.mu.Lock()
	a.sent = time.Now()
	a.mu.Unlock()
	a.host.Written(a)
}

// Begin gives the call a response whose end is still to come. It is false when the time-out has passed; else the
// attempt is timed no longer. Took is how long the answer took to begin.
func (a *Attempt) Begin(r Response) (took time.Duration, ok bool) {
	a.mu.Lock()
	a.begun = a.timer == nil || a.timer.Stop()
	took, ok = time.Since(a.sent), a.begun
	a.mu.Unlock()
	if ok {
		a.At(Coming)
		a.host.Begin(a, r)
	}
	return took, ok
}

// Cancel gives the attempt up.
func (a *Attempt) Cancel() { a.end(context.Canceled) }

// Close lets go of what an attempt that is over holds.
func (a *Attempt) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
	}
	a.end(context.Canceled)
}

// EndAt has the attempt time out.
func (a *Attempt) EndAt(deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.begun {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(time.Until(deadline), func() { a.end(context.DeadlineExceeded) })
}

// isBegun tells whether a long answer is on its way to the caller.
func (a *Attempt) isBegun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.begun
}

// Elapsed is the time that counts.
func (a *Attempt) Elapsed() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.sent)
}
