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
		t.Error("a started stream was answered, sent again or withdrawn")
	}
}

// A call with a long body counts from its last byte: until then it is neither slow nor overtaken, and keeps
// its full remaining time. A body that was partly sent is not sent again.
func TestLongBodyCountsFromItsLastByte(t *testing.T) {
	h := start(t, settings(), 2)
	h.serve(100, nil)
	sendLong := func(id RequestID) sentCall {
		h.b.Request(h.now, Request{ID: id, Class: read, Remaining: 1500 * ms, LongBody: true})
		return h.last()
	}
	call := sendLong("long")
	for range 200 { // the upload takes longer than the remaining time of the request
		h.serve(1, nil)
	}
	if len(h.cancels) > 0 || h.last().id == "long" && h.last() != call || call.timeout != 0 {
		t.Fatalf("during the upload: withdrawn %v, sent %v", h.cancels, call)
	}
	h.b.RequestSent(h.now, "long", 1500*ms)
	h.b.RequestSent(h.now, "long", 1500*ms) // a repeated report has no effect
	if got := h.b.inFlight; got != 1 {
		t.Errorf("%d calls in flight, want 1", got)
	}
	sends := len(h.sent)
	h.b.Outcome(h.now, Outcome{
		ID: "long", Endpoint: call.to, Status: Error, NotReplayable: true, Elapsed: 20 * ms,
	})
	if len(h.sent) != sends || len(h.refusals) != 1 {
		t.Errorf("%d more sends, refused %v, want 0 and one refusal, as the client may retry a read",
			len(h.sent)-sends, h.refusals)
	}
	call = sendLong("rejected, body consumed")
	h.b.Outcome(h.now, Outcome{ID: call.id, Endpoint: call.to, Status: Rejected, NotReplayable: true})
	h.advance(100 * ms)
	call = sendLong("rejected, body kept")
	h.reportOutcome(call, Rejected, ms)
	if len(h.refusals) != 2 || h.last().id != "rejected, body kept" || h.last().to == call.to {
		t.Errorf("refused %v, then sent %v, want the second request sent to another endpoint", h.refusals, h.last())
	}
	h.reportOutcome(h.last(), OK, ms)
	for _, e := range h.b.listed {
		if e.uploads != 0 || len(e.calls) != 0 || h.b.inFlight != 0 {
			t.Errorf("endpoint %d: %d uploads, %d calls; %d calls in flight",
				e.id, e.uploads, len(e.calls), h.b.inFlight)
		}
	}
}

// The time that a client takes to read a long response does not count in the statistics of the endpoint or in
// the limit on calls in flight.
func TestStartedResponseFreesEndpoint(t *testing.T) {
	h := start(t, settings(), 2)
	h.serve(100, nil)
	id := h.request(read)
	call := h.last()
	h.advance(20 * ms)
	h.b.ResponseStarted(h.now, id, 0, call.to)
	if h.b.inFlight != 0 || h.b.classes[read].meanLatency > 0.1 {
		t.Errorf("%d calls in flight, mean latency %v", h.b.inFlight, h.b.classes[read].meanLatency)
	}
	h.serve(500, nil) // for ten seconds
	h.b.Outcome(h.now, Outcome{
		ID: id, Endpoint: call.to, Final: true, Status: Cancelled, Elapsed: 10 * time.Second,
	})
	mean := h.b.classes[read].meanLatency
	if mean > 0.1 || h.b.inFlight != 0 || len(h.cancels) > 0 || len(h.b.requests) > 0 {
		t.Errorf("mean latency %v, %d calls in flight, withdrawn %v, %d requests left",
			mean, h.b.inFlight, h.cancels, len(h.b.requests))
	}
}

// An outcome or the start of a response is ignored if it does not belong to the attempt in flight. Otherwise
// a request could have two attempts in flight or get two answers.
func TestOutcomesOfOtherAttemptsAreIgnored(t *testing.T) {
	for name, report := range map[string]func(h *harness, first, second sentCall){
		"error reported twice": func(h *harness, first, _ sentCall) {
			h.reportOutcome(first, Error, 20*ms)
		},
		"rejection after the error": func(h *harness, first, _ sentCall) {
			h.reportOutcome(first, Rejected, 20*ms)
		},
		"reset after the error": func(h *harness, first, _ sentCall) {
			h.reportOutcome(first, Reset, 20*ms)
		},
		"timeout after the error": func(h *harness, first, _ sentCall) {
			h.reportOutcome(first, Timeout, 20*ms)
		},
		"outcome of another endpoint": func(h *harness, first, second sentCall) {
			second.to = first.to
			h.reportOutcome(second, Error, 20*ms)
		},
		"outcome of a later attempt": func(h *harness, _, second sentCall) {
			second.attempt++
			h.reportOutcome(second, Error, 20*ms)
		},
		"response of the first attempt": func(h *harness, first, _ sentCall) {
			h.b.ResponseStarted(h.now, first.id, first.attempt, first.to)
		},
		"error after the answer": func(h *harness, _, second sentCall) {
			h.reportOutcome(second, OK, 20*ms)
			h.reportOutcome(second, Error, 20*ms)
		},
	} {
		h := start(t, settings(), 4)
		h.serve(60, nil)
		id := h.request(read)
		first := h.last()
		h.reportOutcome(first, Error, 20*ms)
		second := h.last()
		if second.id != id || second.attempt != 1 {
			t.Fatalf("%s: %v is not sent again", name, first)
		}
		sends := len(h.sent)
		report(h, first, second)
		ended := h.b.requests[id] == nil
		if len(h.sent) != sends || len(h.fails)+len(h.refusals) > 0 || ended != (name == "error after the answer") {
			t.Errorf("%s: %d sent, %v failed, %v refused, ended %v",
				name, len(h.sent)-sends, h.fails, h.refusals, ended)
		}
		if !ended {
			h.reportOutcome(second, OK, 20*ms)
		}
		if h.b.inFlight != 0 || len(h.b.requests) != 0 || len(h.fails)+len(h.refusals) > 0 {
			t.Errorf("%s: %d calls in flight, %d requests left, %v failed, %v refused",
				name, h.b.inFlight, len(h.b.requests), h.fails, h.refusals)
		}
	}
}
