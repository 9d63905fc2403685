package decision

import (
	"slices"
	"testing"
	"time"
)

func TestDrainingEndpointGetsNoNewCallsAndKeepsItsOwn(t *testing.T) {
	h := start(t, settings(), 2)
	for range 4 {
		h.request(read)
	}
	inFlight := slices.Clone(h.sent)
	h.updateEntry(Entry{Endpoint: 1, State: Draining})
	if len(h.cancels) > 0 {
		t.Error("a call in flight was cancelled when its endpoint drained")
	}
	for _, s := range inFlight {
		h.reportOutcome(s, OK, 10*ms)
	}
	if got := h.serve(20, nil); got[1] != 0 || got[2] != 20 {
		t.Errorf("calls by endpoint %v, want all 20 to endpoint 2", got)
	}
	h.updateEntry(Entry{Endpoint: 1})
	if got := h.serve(20, nil); got[1] == 0 {
		t.Error("an endpoint that is ready again got no call")
	}
}

// Departed endpoints are forgotten, and the outcomes of calls that were still in flight there are handled.
func TestDepartedEndpointsAreForgotten(t *testing.T) {
	h := start(t, settings(), 1)
	for i := 2; i < 100; i++ {
		h.request(read)
		call := h.last()
		h.updateEntry(Entry{Endpoint: EndpointID(i), Weight: 1})
		h.updateEntry(Entry{Endpoint: EndpointID(i - 1), State: Departed})
		if i%2 == 0 {
			h.updateEntry(Entry{Endpoint: EndpointID(i - 1), State: Departed})
		}
		h.reportOutcome(call, []Status{OK, Reset, Error, ConnectFailed, Cancelled}[i%5], 5*ms)
		for h.attempts[call.id] > 1 && h.last().id == call.id && h.b.requests[call.id] != nil {
			h.reportOutcome(h.last(), OK, 5*ms)
		}
		h.advance(20 * ms)
	}
	if len(h.b.byID) > maxDepartedEndpoints+4 {
		t.Errorf("%d endpoints remembered, want at most %d", len(h.b.byID), maxDepartedEndpoints+4)
	}
	for len(h.b.requests) > 0 { // some requests were queued because of slow start
		for _, s := range h.sent {
			h.reportOutcome(s, OK, 5*ms)
		}
		h.advance(20 * ms)
	}
	h.now += h.b.settings.WarmUp
	h.updateEntry(Entry{Endpoint: 99, Weight: 1})
	if len(h.b.byID) != 1 || len(h.b.listed) != 1 || len(h.b.requests) != 0 || h.b.inFlight != 0 {
		t.Errorf("%d endpoints, %d listed, %d requests, %d calls in flight, want 1, 1, 0 and 0",
			len(h.b.byID), len(h.b.listed), len(h.b.requests), h.b.inFlight)
	}
}

func TestPullDiscoveryWatchesAndBacksOff(t *testing.T) {
	s := settings()
	s.PullDiscovery = true
	h := start(t, s, 2)
	if h.watches != 0 {
		t.Error("the watch started at once: all instances of a starting fleet would start theirs at the same time")
	}
	h.advance(time.Second)
	if h.watches != 1 {
		t.Fatalf("%d watches in the first second, want 1", h.watches)
	}
	for range 40 {
		h.b.Targets(h.now, List{Kind: FailedList})
		h.advance(time.Second)
	}
	if h.watches < 4 || h.watches > 30 {
		t.Errorf("%d watches in 40 s of failures, want 4 to 30, as the pause grows", h.watches)
	}
}

// An endpoint that leaves and returns goes through slow start. Its ejection lasts until a trial call is
// served or the list reports a new start, and a cold endpoint does not become warm by its absence.
func TestReturningEndpointKeepsEjectionAndWarmUp(t *testing.T) {
	const started = 21 * time.Second // start of an endpoint that is cold for the following 10 s
	cold := Entry{Endpoint: 1, Weight: 1, Started: started}
	warm := Entry{Endpoint: 1, Weight: 1}
	withState := func(e Entry, s State) Entry { e.State = s; return e }
	draining, departed := withState(warm, Draining), withState(warm, Departed)
	coldDraining, coldDeparted := withState(cold, Draining), withState(cold, Departed)
	resetConnection := func(h *harness) {
		for range 40 {
			h.request(read)
			s := h.last()
			if s.to != 1 {
				h.reportOutcome(s, OK, 20*ms)
				continue
			}
			h.reportOutcome(s, Reset, ms)
			h.reportOutcome(h.last(), OK, 20*ms)
			return
		}
		t.Fatal("endpoint 1 got no call")
	}
	for name, c := range map[string]struct {
		before func(h *harness)
		lists  []Entry // entries of one delta each, from version 3 on, half a second apart
		want   endpointState
		share  float64 // upper bound of the capacity share after the last list
	}{
		"draining, ready":                     {nil, []Entry{draining, warm}, stateSlowStart, 0.99},
		"draining twice, ready twice":         {nil, []Entry{draining, draining, warm, warm}, stateSlowStart, 0.99},
		"departed, ready":                     {nil, []Entry{departed, warm}, stateSlowStart, 0.99},
		"draining, departed, ready":           {nil, []Entry{draining, departed, warm}, stateSlowStart, 0.99},
		"departed, draining":                  {nil, []Entry{departed, draining}, stateDraining, 1},
		"departed twice, ready":               {nil, []Entry{departed, departed, warm}, stateSlowStart, 0.99},
		"cold, draining, ready":               {nil, []Entry{cold, coldDraining, cold}, stateSlowStart, 0.4},
		"cold, departed, ready":               {nil, []Entry{cold, coldDeparted, cold}, stateSlowStart, 0.4},
		"draining, new start":                 {nil, []Entry{draining, cold}, stateSlowStart, 0.4},
		"cold, draining, ready without start": {nil, []Entry{cold, coldDraining, warm}, stateSlowStart, 0.4},
		"ejected, listed again":               {resetConnection, []Entry{warm}, stateEjected, 1},
		"ejected, draining, ready":            {resetConnection, []Entry{draining, warm}, stateEjected, 1},
		"ejected, draining twice, ready": {
			resetConnection, []Entry{draining, draining, warm}, stateEjected, 1,
		},
		"ejected, departed, ready": {resetConnection, []Entry{departed, warm}, stateEjected, 1},
		"ejected, departed, draining, ready": {
			resetConnection, []Entry{departed, draining, warm}, stateEjected, 1,
		},
		"ejected, new start":           {resetConnection, []Entry{cold}, stateSlowStart, 0.4},
		"ejected, departed, new start": {resetConnection, []Entry{departed, cold}, stateSlowStart, 0.4},
		"unknown, ready":               {nil, []Entry{{Endpoint: 9, Weight: 1}}, stateSlowStart, 0.99},
		"unknown, draining": {
			nil, []Entry{{Endpoint: 9, Weight: 1, State: Draining}}, stateDraining, 1,
		},
		"unknown, departed": {
			nil, []Entry{{Endpoint: 9, Weight: 1, State: Departed}}, stateDraining, 1,
		},
		"start long ago": {
			nil, []Entry{{Endpoint: 1, Weight: 1, Started: 2 * time.Second}}, stateSlowStart, 0.99,
		},
		"departed": {nil, []Entry{departed}, stateDraining, 1},
	} {
		h := start(t, settings(), 4)
		h.now = started // the harness starts at 1 s, so all its endpoints are warm
		if c.before != nil {
			c.before(h)
		}
		for i, e := range c.lists {
			h.applyDelta(uint64(3+i), e)
			h.now += 500 * ms
		}
		e := h.b.byID[c.lists[0].Endpoint]
		if e == nil {
			e = &endpoint{state: stateDraining} // a forgotten endpoint gets no calls, like a draining one
		}
		if got := h.b.capacityShare(h.now, e); e.state != c.want || got > c.share {
			t.Errorf("%s: state %d, capacity share %.2f, want %d and at most %.2f",
				name, e.state, got, c.want, c.share)
		}
		if h.b.inFlight != 0 {
			t.Errorf("%s: %d calls in flight, want 0", name, h.b.inFlight)
		}
		if c.want != stateEjected {
			continue
		}
		// A trial call that is served ends the ejection.
		for range 200 {
			h.serve(1, nil)
		}
		if e = h.b.byID[1]; e.state > stateSlowStart {
			t.Errorf("%s: state %d after trial calls were served", name, e.state)
		}
	}
}

// Calls that are in flight at an endpoint while it departs and returns still count in its load, in the limit
// and in its statistics. A repeated return earns no further slow-start token.
func TestCallsInFlightCountAfterEndpointReturns(t *testing.T) {
	for _, state := range []string{"ready", "ejected"} {
		h := start(t, settings(), 2)
		h.serve(60, nil)
		var at1 []sentCall
		for range 4 {
			h.request(read)
			if h.last().to == 1 {
				at1 = append(at1, h.last())
			}
		}
		if state == "ejected" {
			h.b.eject(h.now, h.b.byID[1], "silent")
		}
		h.applyDelta(3, Entry{Endpoint: 1, State: Departed})
		h.applyDelta(4, Entry{Endpoint: 1, Weight: 1})
		e := h.b.byID[1]
		if got := h.b.callsAt(h.now, e); got != len(at1) || len(at1) == 0 {
			t.Errorf("%s: load %d with %d calls in flight", state, got, len(at1))
		}
		tokens := e.slowStartTokens
		for v := uint64(5); v < 25; v += 2 {
			h.applyDelta(v, Entry{Endpoint: 1, State: Departed})
			h.applyDelta(v+1, Entry{Endpoint: 1, Weight: 1})
		}
		if e = h.b.byID[1]; e.state == stateSlowStart && e.slowStartTokens > tokens {
			t.Errorf("%s: %.2f slow-start tokens after repeated returns, %.2f before",
				state, e.slowStartTokens, tokens)
		}
		for _, s := range slices.Clone(h.sent) {
			if h.b.requests[s.id] != nil {
				h.reportOutcome(s, OK, 20*ms)
			}
		}
		h.advance(100 * ms)
		if h.b.inFlight != 0 || len(h.b.byID[1].calls) != 0 || len(h.b.requests) != 0 {
			t.Errorf("%s: %d calls in flight, %d at the endpoint, %d requests left, want 0 of each",
				state, h.b.inFlight, len(h.b.byID[1].calls), len(h.b.requests))
		}
	}
}

// A list that is older than the current one changes nothing, unless its versions are not comparable.
func TestOlderListsAreIgnored(t *testing.T) {
	ready := Entry{Endpoint: 1, Weight: 1}
	for name, c := range map[string]struct {
		current State
		update  List
		want    bool // endpoint 1 may be called after the update
	}{
		"older delta: ready, was draining": {
			Draining, List{Kind: DeltaList, Version: 6, Entries: []Entry{ready}}, false,
		},
		"older delta: ready, was departed": {
			Departed, List{Kind: DeltaList, Version: 6, Entries: []Entry{ready}}, false,
		},
		"older full list: was departed": {
			Departed, List{Kind: FullList, Version: 6, Entries: []Entry{ready}}, false,
		},
		"older delta: departed, was ready": {
			Ready, List{Kind: DeltaList, Version: 6, Entries: []Entry{{Endpoint: 1, State: Departed}}}, true,
		},
		"older full list without the endpoint": {Ready, List{Kind: FullList, Version: 6}, true},
		"newer delta": {
			Departed, List{Kind: DeltaList, Version: 8, Entries: []Entry{ready}}, true,
		},
		"same version again": {
			Draining, List{Kind: DeltaList, Version: 7, Entries: []Entry{{Endpoint: 1, State: Draining}}}, false,
		},
		"restarted versions, endpoint listed": {
			Departed, List{Kind: FullList, Version: 2, VersionsRestart: true, Entries: []Entry{ready}}, true,
		},
		"restarted versions, endpoint missing": {
			Ready, List{Kind: FullList, Version: 2, VersionsRestart: true}, false,
		},
	} {
		h := start(t, settings(), 2)
		h.applyDelta(7, Entry{Endpoint: 1, Weight: 1, State: c.current})
		h.b.Targets(h.now, c.update)
		e := h.b.byID[1]
		if got := e != nil && e.listed && e.state <= stateSlowStart; got != c.want {
			t.Errorf("%s: endpoint 1 may be called: %v, want %v", name, got, c.want)
		}
	}
}

// While requests for the list fail, one watch follows another, and failures do not add parallel watches.
// Otherwise a failed discovery service would get more and more requests.
func TestFailedListsDoNotAddWatches(t *testing.T) {
	s := settings()
	s.PullDiscovery = true
	h := start(t, s, 4)
	h.serve(40, nil)
	h.advance(2 * time.Second)
	// All watches fail, and all fetches, which connect failures cause.
	before, from := h.watches+h.fetches, h.now
	reported, lastWatch := before, h.now
	h.b.Targets(h.now, List{Kind: FailedList})
	for h.now < from+120*time.Second {
		h.request(read)
		h.reportOutcome(h.last(), ConnectFailed, ms)
		for len(h.sent) > 0 && h.b.requests[h.last().id] != nil {
			h.reportOutcome(h.last(), ConnectFailed, ms)
		}
		watches := h.watches
		h.advance(100 * ms)
		for ; reported < h.watches+h.fetches; reported++ {
			h.b.Targets(h.now, List{Kind: FailedList})
		}
		// A change must be known 6 s after discovery can be reached again. An earlier watch may hang for 2 s,
		// and the next one may wait 2 s for its answer, so the pause between them must not exceed 2 s.
		if h.watches > watches {
			lastWatch = h.now
		} else if h.now-lastWatch > 2*time.Second {
			t.Fatalf("no watch for %v", h.now-lastWatch)
		}
	}
	// At most one watch per 1.3 s once the pause has grown, four watches before that, and one fetch per 3.75 s.
	if got := h.watches + h.fetches - before; got > 120*10/13+4+32 {
		t.Errorf("%d watches and fetches in two minutes (%d watches in total), want fewer", got, h.watches)
	}
	if h.duplicateTimers > 0 {
		t.Errorf("%d timers set while a timer with the same token was running", h.duplicateTimers)
	}
}

// A change must be known 6 s after discovery can be reached again, also if earlier watches hung. A watch
// times out after 2 s, so the third watch must begin early enough after two that hung.
func TestHungWatchIsReplacedInTime(t *testing.T) {
	const watchTimeout = 2 * time.Second
	for _, interval := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, time.Minute} {
		s := settings()
		s.PullDiscovery, s.DiscoveryInterval = true, interval
		h := start(t, s, 4)
		h.advance(3 * time.Second)
		h.b.Targets(h.now, List{Kind: FailedList})
		var began []time.Duration
		for watches := h.watches; len(began) < 12; {
			h.advance(20 * ms)
			if h.watches > watches {
				watches, began = h.watches, append(began, h.now)
				h.advance(watchTimeout)
				h.b.Targets(h.now, List{Kind: FailedList})
			}
			if len(began) > 0 && h.now-began[len(began)-1] > 4*watchTimeout {
				t.Fatalf("discovery interval %v: no further watch", interval)
			}
		}
		for i := 2; i < len(began); i++ {
			if third := began[i] - began[i-2]; third > 5300*ms {
				t.Errorf("discovery interval %v: the third watch began %v after the first, which hung", interval, third)
			}
		}
	}
}
