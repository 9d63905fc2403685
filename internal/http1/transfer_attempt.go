package http1

import (
	"sync"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
)

// resumedHost is what an attempt needs whose decisions were made in the process before.
type resumedHost struct {
	server *Server
	answer chan core.Answer // holds one

	mu       sync.Mutex
	answered bool // the answer, or nobody waits for it
}

// Written has the attempt end when its answer is no longer waited for, or the process ends.
func (h *resumedHost) Written(a *core.Attempt) {
	end := time.Now().Add(a.Call.Remaining - h.server.config.Settings.GraceToAnswer)
	if ends := h.server.lifecycle.Ends(); !ends.IsZero() && ends.Before(end) {
		end = ends
	}
	a.EndAt(end)
}

// Begin gives a long answer.
func (h *resumedHost) Begin(a *core.Attempt, r core.Response) { h.deliver(core.Answer{Response: r}) }

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

// abandon notes that nobody waits for an answer any more.
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

// finish gives the final answer that follows from how the only attempt ended: it is not made again, as what went
// out of it is not kept.
func (h *resumedHost) finish(res result) {
	switch {
	case res.status == decision.OK && res.response != nil && res.response.rest == nil:
		h.deliver(core.Answer{Response: res.response})
	case res.status.NeverRan():
		h.deliver(core.TurnedAway(&h.server.config.Settings))
	default:
		h.deliver(core.Answer{})
	}
}
