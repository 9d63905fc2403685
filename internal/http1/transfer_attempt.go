package http1

import (
	"sync"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
)

// resumedObserver implements core.AttemptObserver for the attempt of a transferred upload. The predecessor
// has made all decisions about this attempt, so the core is not involved.
type resumedObserver struct {
	server *Server
	// Receives the answer; it has room for one value.
	answer chan core.Answer

	mu sync.Mutex
	// The answer has been delivered or is no longer awaited.
	answered bool
}

// RequestSent sets the deadline of the attempt. It is the time at which the answer is no longer
// awaited, or the end of the process if that is earlier.
func (o *resumedObserver) RequestSent(a *core.Attempt) {
	end := time.Now().Add(a.Call.Remaining - o.server.config.Settings.GraceToAnswer)
	if processEnd := o.server.lifecycle.Deadline(); !processEnd.IsZero() && processEnd.Before(end) {
		end = processEnd
	}
	a.SetDeadline(end)
}

// StartResponse delivers a streamed response.
func (o *resumedObserver) StartResponse(_ *core.Attempt, r core.Response) {
	o.deliver(core.Answer{Response: r})
}

// deliver delivers the answer if it is still awaited, and discards it otherwise.
func (o *resumedObserver) deliver(a core.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.answered {
		a.Discard()
		return
	}
	o.answered = true
	o.answer <- a
}

// abandon records that the answer is no longer awaited, and discards one that was not received.
func (o *resumedObserver) abandon() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answered = true
	select {
	case a := <-o.answer:
		a.Discard()
	default:
	}
}

// finish delivers the answer that follows from the attempt's result. There is no retry, because the
// bytes that were sent are not kept.
func (o *resumedObserver) finish(res result) {
	switch {
	case res.status == decision.OK && res.response != nil && res.response.rest == nil:
		o.deliver(core.Answer{Response: res.response})
	case res.status.NeverRan():
		o.deliver(core.RejectedAnswer(&o.server.config.Settings))
	default:
		o.deliver(core.Answer{})
	}
}
