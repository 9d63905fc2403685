package http1

import (
	"sync"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
)

// heirHost is what an attempt needs whose decisions were made in the process before.
type heirHost struct {
	server *Server
	answer chan core.Answer // holds one

	mu    sync.Mutex
	given bool // the answer, or nobody waits for it
}

// Written has the attempt end when its answer is no longer waited for, or the process ends.
func (h *heirHost) Written(a *core.Attempt) {
	end := time.Now().Add(a.Call.Remaining - h.server.config.Settings.GraceToAnswer)
	if ends := h.server.life.Ends(); !ends.IsZero() && ends.Before(end) {
		end = ends
	}
	a.EndAt(end)
}

// Begin gives a long answer.
func (h *heirHost) Begin(a *core.Attempt, r core.Response) { h.give(core.Answer{Response: r}) }

func (h *heirHost) give(a core.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.given {
		a.Discard()
		return
	}
	h.given = true
	h.answer <- a
}

// lapse notes that nobody waits for an answer any more.
func (h *heirHost) lapse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.given = true
	select {
	case a := <-h.answer:
		a.Discard()
	default:
	}
}

// outcome gives the final answer that follows from how the only attempt ended: it is not made again, as what went
// out of it is not kept.
func (h *heirHost) outcome(res result) {
	switch {
	case res.status == decision.OK && res.response != nil && res.response.more == nil:
		h.give(core.Answer{Response: res.response})
	case res.status.NeverRan():
		h.give(core.TurnedAway(&h.server.config.Settings))
	default:
		h.give(core.Answer{})
	}
}
