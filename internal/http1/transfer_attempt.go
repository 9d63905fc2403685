package http1

import (
	"sync"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
)

// resumedHost implements the host of the attempt of a transferred upload, about which the
// predecessor has made all decisions.
type resumedHost struct {
	server *Server
	// Holds one value.
	answer chan core.Answer

	mu sync.Mutex
	// The answer has been delivered, or nobody waits for it.
	answered bool
}

// Written implements the host of an attempt: the attempt ends when its answer is no longer waited for, or the
// process ends.
func (h *resumedHost) RequestSent(a *core.Attempt) {
	end := time.Now().Add(a.Call.Remaining - h.server.config.Settings.GraceToAnswer)
	if ends := h.server.lifecycle.Deadline(); !ends.IsZero() && ends.Before(end) {
		end = ends
	}
	a.SetDeadline(end)
}

// Begin implements the host of an attempt: it delivers a streamed response.
func (h *resumedHost) StartResponse(_ *core.Attempt, r core.Response) {
	h.deliver(core.Answer{Response: r})
}

// deliver delivers the answer if somebody waits for it, and discards it otherwise.
func (h *resumedHost) deliver(a core.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.answered {
		a.Discard()
		return
	}
	h.answered = true
	h.answer <- a
}

// abandon notes that nobody waits for the answer any more.
func (h *resumedHost) abandon() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered = true
	select {
	case a := <-h.answer:
		a.Discard()
	default:
	}
}

// finish delivers the answer that follows from the attempt's result. There is no retry, for the
// bytes that were sent are not kept.
func (h *resumedHost) finish(res result) {
	switch {
	case res.status == decision.OK && res.response != nil && res.response.rest == nil:
		h.deliver(core.Answer{Response: res.response})
	case res.status.NeverRan():
		h.deliver(core.RejectedAnswer(&h.server.config.Settings))
	default:
		h.deliver(core.Answer{})
	}
}
