package decision

import (
	"testing"
	"time"
)

func TestStartedStreamIsNeitherCancelledNorRetried(t *testing.T) {
	s := settings()
	s.Classes[read].Streamed = true
	h := start(t, s, 2)
	id := h.request(read)
	h.b.ResponseStarted(h.now, id, 0, h.last().to)
	h.advance(10 * time.Second)
	h.b.Outcome(h.now, Outcome{ID: id, Endpoint: h.last().to, Final: true, Status: Reset})
	if len(h.sent) != 1 || len(h.fails)+len(h.refusals)+len(h.cancels) > 0 {
		t.Error("a started stream was answered, repeated or withdrawn")
	}
}

// A long body counts once the endpoint has all of it: until then the call is neither slow nor overtaken,
// and keeps all of its time. A body of which a part was sent is not sent again.
func TestLongBodyCountsFromItsLastByte(t *testing.T) {
	h := start(t, settings(), 2)
	h.serve(100, nil)
	ask := func(id RequestID) sentCall {
		h.b.Request(h.now, Request{ID: id, Class: read, Remaining: 1500 * ms, LongBody: true})
		return h.last()
	}
	call := ask("long")
	for range 200 { // it takes longer to come than it has time
		h.serve(1, nil)
	}
	if len(h.cancels) > 0 || h.last().id == "long" && h.last() != call || call.timeout != 0 {
		t.Fatalf("while it came: withdrawn %v, sent %v", h.cancels, call)
	}
	h.b.RequestSent(h.now, "long", 1500*ms)
	h.b.RequestSent(h.now, "long", 1500*ms) // nothing new
	if got := h.b.inFlight; got != 1 {
		t.Errorf("%d calls in flight, want the one", got)
	}
	sends := len(h.sent)
	h.b.Outcome(h.now, Outcome{ID: "long", Endpoint: call.to, Status: Error, NotReplayable: true, Elapsed: 20 * ms})
	if len(h.sent) != sends || len(h.refusals) != 1 {
		t.Errorf("%d more sends, refused %v: a read may be asked again by its client", len(h.sent)-sends, h.refusals)
	}
	call = ask("turned away")
	h.b.Outcome(h.now, Outcome{ID: call.id, Endpoint: call.to, Status: Rejected, NotReplayable: true})
	h.advance(100 * ms)
	call = ask("elsewhere")
	h.reportOutcome(call, Rejected, ms)
	if len(h.refusals) != 2 || h.last().id != "elsewhere" || h.last().to == call.to {
		t.Errorf("refused %v, then sent %v: what is still whole goes to another endpoint", h.refusals, h.last())
	}
	h.reportOutcome(h.last(), OK, ms)
	for _, e := range h.b.listed {
		if e.uploads != 0 || len(e.calls) != 0 || h.b.inFlight != 0 {
			t.Errorf("endpoint %d: %d coming, %d calls; %d out", e.id, e.uploads, len(e.calls), h.b.inFlight)
		}
	}
}

// The time that a client takes to read a long response says nothing about the endpoint, and uses up none of
// the limit.
func TestStartedResponseFreesEndpoint(t *testing.T) {
	h := start(t, settings(), 2)
	h.serve(100, nil)
	id := h.request(read)
	call := h.last()
	h.advance(20 * ms)
	h.b.ResponseStarted(h.now, id, 0, call.to)
	if h.b.inFlight != 0 || h.b.classes[read].meanLatency > 0.1 {
		t.Errorf("%d out, mean %v", h.b.inFlight, h.b.classes[read].meanLatency)
	}
	h.serve(500, nil) // for ten seconds
	h.b.Outcome(h.now, Outcome{ID: id, Endpoint: call.to, Final: true, Status: Cancelled, Elapsed: 10 * time.Second})
	if mean := h.b.classes[read].meanLatency; mean > 0.1 || h.b.inFlight != 0 || len(h.cancels) > 0 || len(h.b.requests) > 0 {
		t.Errorf("mean %v, %d out, withdrawn %v, %d open", mean, h.b.inFlight, h.cancels, len(h.b.requests))
	}
}

// An outcome, or a started response, that is not of the attempt in flight is ignored: nothing is sent while
// another attempt is in flight, and nothing is answered twice.
func TestOutcomesOfOtherAttemptsAreIgnored(t *testing.T) {
	for name, late := range map[string]func(h *harness, first, now sentCall){
		"told twice":           func(h *harness, first, _ sentCall) { h.reportOutcome(first, Error, 20*ms) },
		"twice, never ran":     func(h *harness, first, _ sentCall) { h.reportOutcome(first, Rejected, 20*ms) },
		"twice, reset":         func(h *harness, first, _ sentCall) { h.reportOutcome(first, Reset, 20*ms) },
		"twice, timed out":     func(h *harness, first, _ sentCall) { h.reportOutcome(first, Timeout, 20*ms) },
		"of another endpoint":  func(h *harness, first, now sentCall) { now.to = first.to; h.reportOutcome(now, Error, 20*ms) },
		"of one still to come": func(h *harness, _, now sentCall) { now.attempt++; h.reportOutcome(now, Error, 20*ms) },
		"begun":                func(h *harness, first, _ sentCall) { h.b.ResponseStarted(h.now, first.id, first.attempt, first.to) },
		"after it was over": func(h *harness, _, now sentCall) {
			h.reportOutcome(now, OK, 20*ms)
			h.reportOutcome(now, Error, 20*ms)
		},
	} {
		h := start(t, settings(), 4)
		h.serve(60, nil)
		id := h.request(read)
		first := h.last()
		h.reportOutcome(first, Error, 20*ms)
		now := h.last()
		if now.id != id || now.attempt != 1 {
			t.Fatalf("%s: %v is not sent again", name, first)
		}
		sends := len(h.sent)
		late(h, first, now)
		over := h.b.requests[id] == nil
		if len(h.sent) != sends || len(h.fails)+len(h.refusals) > 0 || over != (name == "after it was over") {
			t.Errorf("%s: %d sent, %v failed, %v refused, over %v", name, len(h.sent)-sends, h.fails, h.refusals, over)
		}
		if !over {
			h.reportOutcome(now, OK, 20*ms)
		}
		if h.b.inFlight != 0 || len(h.b.requests) != 0 || len(h.fails)+len(h.refusals) > 0 {
			t.Errorf("%s: %d out, %d requests, %v failed, %v refused", name, h.b.inFlight, len(h.b.requests), h.fails, h.refusals)
		}
	}
}
