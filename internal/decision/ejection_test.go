package decision

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestResetEjectsUntilTrialIsServedThenSlowStarts(t *testing.T) {
	h := start(t, settings(), 4)
	h.serve(40, nil)
	id := h.request(read)
	lost := h.last()
	h.reportOutcome(lost, Reset, 5*ms)
	if h.fetches != 1 {
		t.Errorf("%d fetches of the list after a broken connection, want 1", h.fetches)
	}
	if retry := h.last(); retry.id != id || retry.to == lost.to {
		t.Errorf("retry %v, want %s on another endpoint than %d", retry, id, lost.to)
	}
	h.reportOutcome(h.last(), OK, 20*ms)
	answer := func(to EndpointID) Status {
		if to == lost.to {
			return ConnectFailed
		}
		return OK
	}
	if got := h.serve(100, answer); got[lost.to] == 0 || got[lost.to] > 5 {
		t.Errorf("%d trial calls in 2 s, want 1 to 5", got[lost.to])
	}
	if h.fetches != 1 {
		t.Errorf("%d fetches of the list, want the next one only after a pause", h.fetches)
	}
	got := h.serve(500, nil)
	if got[lost.to] == 0 || got[lost.to] > 80 {
		t.Errorf("%d of 500 calls to the returned endpoint, want 1 to 80 during its slow start", got[lost.to])
	}
}

// Any endpoint sends a few invalid responses. Such a call may have run; it is retried if its class allows
// that. The endpoint is neither ejected nor put into slow start.
func TestSingleInvalidResponseLeavesEndpointUsable(t *testing.T) {
	h := start(t, settings(), 4)
	h.serve(40, nil)
	id := h.request(read)
	h.reportOutcome(h.last(), InvalidResponse, 5*ms)
	if retry := h.last(); retry.id != id || retry.attempt != 1 {
		t.Errorf("retry %v, want a second attempt of %s", retry, id)
	}
	h.reportOutcome(h.last(), OK, 20*ms)
	h.request(pay)
	h.reportOutcome(h.last(), InvalidResponse, 5*ms)
	if len(h.fails) != 1 || len(h.refusals) != 0 {
		t.Errorf("an unsafe call that may have run: %d failed, %d refused, want 1 and 0",
			len(h.fails), len(h.refusals))
	}
	bad := h.last().to
	for range 3 {
		h.request(read)
		for h.last().to == bad {
			h.reportOutcome(h.last(), InvalidResponse, 5*ms)
			h.request(read)
		}
		h.reportOutcome(h.last(), OK, 20*ms)
	}
	if got := h.serve(100, nil); got[bad] < 10 || h.fetches != 0 || len(h.logs) > 0 {
		t.Errorf("%d of 100 calls to the endpoint, %d fetches of the list, logs %q", got[bad], h.fetches, h.logs)
	}
}

// An endpoint that sends only invalid responses is ejected like one that fails fast. If every endpoint sends
// some invalid responses, or all send only invalid ones, none is ejected.
func TestEndpointWithOnlyInvalidResponsesIsEjected(t *testing.T) {
	for name, c := range map[string]struct {
		isInvalid func(h *harness, to EndpointID) bool
		maxCalls  int // to endpoint 1, of 400 requests
		minCalls  int
		ejected   bool
	}{
		"all responses of one endpoint": {func(_ *harness, to EndpointID) bool { return to == 1 }, 40, 1, true},
		"some responses of all endpoints": {
			func(h *harness, _ EndpointID) bool { return h.b.rng.Float64() < 0.1 }, 400, 70, false,
		},
		"all responses of all endpoints": {func(_ *harness, _ EndpointID) bool { return true }, 800, 70, false},
	} {
		h := start(t, settings(), 4)
		h.serve(60, nil)
		got := h.serve(400, func(to EndpointID) Status {
			if c.isInvalid(h, to) {
				return InvalidResponse
			}
			return OK
		})
		if got[1] > c.maxCalls || got[1] < c.minCalls || (len(h.logs) > 0) != c.ejected {
			t.Errorf("%s: %d calls to endpoint 1, logs %v", name, got[1], h.logs)
		}
	}
}

func TestNewStartInListEndsEjection(t *testing.T) {
	h := start(t, settings(), 2)
	h.request(read)
	lost := h.last()
	h.reportOutcome(lost, Reset, ms)
	h.updateEntry(Entry{Endpoint: lost.to, Started: h.now})
	for range 300 {
		h.advance(10 * ms)
		h.request(read)
		s := h.last()
		h.reportOutcome(s, OK, 10*ms)
		if s.to == lost.to {
			return
		}
	}
	t.Error("the restarted endpoint got no call in 3 s")
}

// An endpoint with a full connection table refuses connections like a dead process. Calls in flight there
// show that the process is alive.
func TestConnectFailureBesideOpenCallsDoesNotEject(t *testing.T) {
	h := start(t, settings(), 1)
	h.request(read)
	h.request(read)
	h.reportOutcome(h.sent[1], ConnectFailed, ms)
	if slices.ContainsFunc(h.logs, func(s string) bool { return strings.Contains(s, "isolated") }) {
		t.Errorf("the endpoint is ejected: %v", h.logs)
	}
}

func TestEjectedEndpointsServeWhereNoneIsHealthy(t *testing.T) {
	h := start(t, settings(), 3)
	for range 12 {
		h.request(read)
		h.reportOutcome(h.last(), ConnectFailed, ms)
		h.advance(10 * ms)
	}
	sends := len(h.sent)
	h.advance(time.Second)
	h.request(read)
	h.advance(100 * ms)
	if len(h.sent) == sends {
		t.Error("no call is sent after all endpoints are ejected")
	}
}

// An endpoint that fails fast has few calls in flight, so that it would attract even more calls.
func TestFastErrorsEject(t *testing.T) {
	h := start(t, settings(), 4)
	got := h.serve(300, func(to EndpointID) Status {
		if to == 1 {
			return Error
		}
		return OK
	})
	if got[1] > 30 {
		t.Errorf("%d of 300 calls to the failing endpoint, want at most 30", got[1])
	}
}

// If all endpoints fail in the same way, the cause is probably the tier below.
func TestAllFailingAlikeEjectsNone(t *testing.T) {
	h := start(t, settings(), 4)
	h.serve(60, nil)
	h.logs = nil
	n := 0
	h.serve(400, func(EndpointID) Status {
		if n++; n%2 == 0 {
			return Error
		}
		return OK
	})
	ejected := 0
	for _, e := range h.b.listed {
		if e.state == stateEjected {
			ejected++
		}
	}
	if ejected > 1 {
		t.Errorf("%d of 4 endpoints ejected when all fail half of their calls, want at most 1", ejected)
	}
}

func TestSilentEndpointIsPassedOver(t *testing.T) {
	h := start(t, settings(), 4)
	h.serve(60, nil)
	stuckCalls := 0
	for range 200 {
		h.request(read)
		h.advance(20 * ms)
		if s := h.last(); s.to == 1 {
			stuckCalls++
		} else {
			h.reportOutcome(s, OK, 20*ms)
		}
	}
	if stuckCalls == 0 || stuckCalls > 8 {
		t.Errorf("%d calls to a silent endpoint in 4 s, want 1 to 8", stuckCalls)
	}
}
