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
		t.Errorf("%d lists fetched after a broken connection, want 1", h.fetches)
	}
	if again := h.last(); again.id != id || again.to == lost.to {
		t.Errorf("retry %v, want %s on another endpoint than %d", again, id, lost.to)
	}
	h.reportOutcome(h.last(), OK, 20*ms)
	fail := func(to EndpointID) Status {
		if to == lost.to {
			return ConnectFailed
		}
		return OK
	}
	if got := h.serve(100, fail); got[lost.to] == 0 || got[lost.to] > 5 {
		t.Errorf("%d trials in 2 s, want a few", got[lost.to])
	}
	if h.fetches != 1 {
		t.Errorf("%d lists fetched, want the next one only after a pause", h.fetches)
	}
	got := h.serve(500, nil)
	if got[lost.to] == 0 || got[lost.to] > 80 {
		t.Errorf("%d of 500 sends to the one that is back, want few while it ramps", got[lost.to])
	}
}

// Any endpoint sends some responses that cannot be used. The call may have run and is retried; the endpoint
// is neither ejected nor put into slow start.
func TestSingleInvalidResponseLeavesEndpointUsable(t *testing.T) {
	h := start(t, settings(), 4)
	h.serve(40, nil)
	id := h.request(read)
	spoilt := h.last()
	h.reportOutcome(spoilt, InvalidResponse, 5*ms)
	if again := h.last(); again.id != id || again.attempt != 1 {
		t.Errorf("retry %v, want %s once more", again, id)
	}
	h.reportOutcome(h.last(), OK, 20*ms)
	h.request(pay)
	h.reportOutcome(h.last(), InvalidResponse, 5*ms)
	if len(h.fails) != 1 || len(h.refusals) != 0 {
		t.Errorf("an unsafe call that may have run: %d failed, %d refused", len(h.fails), len(h.refusals))
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
		t.Errorf("%d of 100 sends to it, %d lists fetched, logs %q", got[bad], h.fetches, h.logs)
	}
}

// An endpoint of which every response is invalid, or that breaks each connection, is ejected like one that
// fails fast. Where every endpoint sends some invalid responses, or all do alike, none is ejected.
func TestEndpointWithOnlyInvalidResponsesIsEjected(t *testing.T) {
	for name, c := range map[string]struct {
		spoils func(h *harness, to EndpointID) bool
		most   int // calls of 400 to endpoint 1
		least  int
		marked bool
	}{
		"one spoils all":   {func(_ *harness, to EndpointID) bool { return to == 1 }, 40, 1, true},
		"each spoils some": {func(h *harness, _ EndpointID) bool { return h.b.rng.Float64() < 0.1 }, 400, 70, false},
		"all spoil all":    {func(_ *harness, _ EndpointID) bool { return true }, 800, 70, false},
	} {
		h := start(t, settings(), 4)
		h.serve(60, nil)
		got := h.serve(400, func(to EndpointID) Status {
			if c.spoils(h, to) {
				return InvalidResponse
			}
			return OK
		})
		if got[1] > c.most || got[1] < c.least || (len(h.logs) > 0) != c.marked {
			t.Errorf("%s: %d calls to it, %v", name, got[1], h.logs)
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
	t.Error("a restarted endpoint got no call in 3 s")
}

// A full connection table refuses connections as a dead process does; open calls there tell the two apart.
func TestConnectFailureBesideOpenCallsDoesNotEject(t *testing.T) {
	h := start(t, settings(), 1)
	h.request(read)
	h.request(read)
	h.reportOutcome(h.sent[1], ConnectFailed, ms)
	if slices.ContainsFunc(h.logs, func(s string) bool { return strings.Contains(s, "isolated") }) {
		t.Errorf("isolated: %v", h.logs)
	}
}

func TestEjectedEndpointsServeWhereNoneIsHealthy(t *testing.T) {
	h := start(t, settings(), 3)
	for range 12 {
		h.request(read)
		h.reportOutcome(h.last(), ConnectFailed, ms)
		h.advance(10 * ms)
	}
	at := len(h.sent)
	h.advance(time.Second)
	h.request(read)
	h.advance(100 * ms)
	if len(h.sent) == at {
		t.Error("nothing is sent once all are isolated")
	}
}

// An endpoint that fails fast has few calls in flight, and would draw more.
func TestFastErrorsEject(t *testing.T) {
	h := start(t, settings(), 4)
	got := h.serve(300, func(to EndpointID) Status {
		if to == 1 {
			return Error
		}
		return OK
	})
	if got[1] > 30 {
		t.Errorf("%d of 300 sends to the failing endpoint", got[1])
	}
}

// Where all endpoints fail alike, the cause is the tier below.
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
	isolated := 0
	for _, e := range h.b.listed {
		if e.state == stateEjected {
			isolated++
		}
	}
	if isolated > 1 {
		t.Errorf("%d of 4 endpoints isolated when all fail half their calls", isolated)
	}
}

func TestSilentEndpointIsPassedOver(t *testing.T) {
	h := start(t, settings(), 4)
	h.serve(60, nil)
	stuck := 0
	for range 200 {
		h.request(read)
		h.advance(20 * ms)
		if s := h.last(); s.to == 1 {
			stuck++
		} else {
			h.reportOutcome(s, OK, 20*ms)
		}
	}
	if stuck == 0 || stuck > 8 {
		t.Errorf("%d calls to a silent endpoint in 4 s, want 1 to 8", stuck)
	}
}
