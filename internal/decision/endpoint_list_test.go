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
	running := slices.Clone(h.sent)
	h.updateEntry(Entry{Endpoint: 1, State: Draining})
	if len(h.cancels) > 0 {
		t.Error("a running call was called off when its endpoint drained")
	}
	for _, s := range running {
		h.reportOutcome(s, OK, 10*ms)
	}
	if got := h.serve(20, nil); got[1] != 0 || got[2] != 20 {
		t.Errorf("sends by endpoint %v, want all 20 to 2", got)
	}
	h.updateEntry(Entry{Endpoint: 1})
	if got := h.serve(20, nil); got[1] == 0 {
		t.Error("an endpoint that is ready again gets nothing")
	}
}

// Departed endpoints are forgotten, and calls that are still in flight there end without harm.
func TestDepartedEndpointsAreForgotten(t *testing.T) {
	h := start(t, settings(), 1)
	for i := 2; i < 100; i++ {
		h.request(read)
		late := h.last()
		h.updateEntry(Entry{Endpoint: EndpointID(i), Weight: 1})
		h.updateEntry(Entry{Endpoint: EndpointID(i - 1), State: Departed})
		if i%2 == 0 {
			h.updateEntry(Entry{Endpoint: EndpointID(i - 1), State: Departed})
		}
		h.reportOutcome(late, []Status{OK, Reset, Error, ConnectFailed, Cancelled}[i%5], 5*ms)
		for h.attempts[late.id] > 1 && h.last().id == late.id && h.b.requests[late.id] != nil {
			h.reportOutcome(h.last(), OK, 5*ms)
		}
		h.advance(20 * ms)
	}
	if len(h.b.byID) > maxDepartedEndpoints+4 {
		t.Errorf("%d endpoints are remembered", len(h.b.byID))
	}
	for len(h.b.requests) > 0 { // sent later, in slow start
		for _, s := range h.sent {
			h.reportOutcome(s, OK, 5*ms)
		}
		h.advance(20 * ms)
	}
	h.now += h.b.settings.WarmUp
	h.updateEntry(Entry{Endpoint: 99, Weight: 1})
	if len(h.b.byID) != 1 || len(h.b.listed) != 1 || len(h.b.requests) != 0 || h.b.inFlight != 0 {
		t.Errorf("%d endpoints, %d listed, %d requests, %d out", len(h.b.byID), len(h.b.listed), len(h.b.requests), h.b.inFlight)
	}
}

func TestPullDiscoveryWatchesAndBacksOff(t *testing.T) {
	s := settings()
	s.PullDiscovery = true
	h := start(t, s, 2)
	if h.watches != 0 {
		t.Error("subscribed at once: a fleet that starts together would ask together")
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
		t.Errorf("%d watches in 40 s of failures, want a growing pause", h.watches)
	}
}

// However an endpoint leaves and returns: an ejection lasts until a trial call is served or a new start is
// listed, a cold endpoint stays cold, and one that returns goes through slow start.
func TestReturningEndpointKeepsEjectionAndWarmUp(t *testing.T) {
	const started = 21 * time.Second // of one that is cold for ten seconds from then on
	cold := Entry{Endpoint: 1, Weight: 1, Started: started}
	warm := Entry{Endpoint: 1, Weight: 1}
	state := func(e Entry, s State) Entry { e.State = s; return e }
	breakOff := func(h *harness) {
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
		t.Fatal("endpoint 1 is never drawn")
	}
	for name, c := range map[string]struct {
		before func(h *harness)
		lists  []Entry // of versions from 3 on, half a second apart
		want   endpointState
		share  float64 // the most that it may be taken to be able to do then
	}{
		"drained":                    {nil, []Entry{state(warm, Draining), warm}, stateSlowStart, 0.99},
		"drained twice":              {nil, []Entry{state(warm, Draining), state(warm, Draining), warm, warm}, stateSlowStart, 0.99},
		"gone":                       {nil, []Entry{state(warm, Departed), warm}, stateSlowStart, 0.99},
		"drained, gone":              {nil, []Entry{state(warm, Draining), state(warm, Departed), warm}, stateSlowStart, 0.99},
		"gone, then drains":          {nil, []Entry{state(warm, Departed), state(warm, Draining)}, stateDraining, 1},
		"gone twice":                 {nil, []Entry{state(warm, Departed), state(warm, Departed), warm}, stateSlowStart, 0.99},
		"cold, drained":              {nil, []Entry{cold, state(cold, Draining), cold}, stateSlowStart, 0.4},
		"cold, gone":                 {nil, []Entry{cold, state(cold, Departed), cold}, stateSlowStart, 0.4},
		"new start while it drains":  {nil, []Entry{state(warm, Draining), cold}, stateSlowStart, 0.4},
		"its start comes late":       {nil, []Entry{cold, state(cold, Draining), warm}, stateSlowStart, 0.4},
		"isolated, named again":      {breakOff, []Entry{warm}, stateEjected, 1},
		"isolated, drained":          {breakOff, []Entry{state(warm, Draining), warm}, stateEjected, 1},
		"isolated, drained twice":    {breakOff, []Entry{state(warm, Draining), state(warm, Draining), warm}, stateEjected, 1},
		"isolated, gone":             {breakOff, []Entry{state(warm, Departed), warm}, stateEjected, 1},
		"isolated, gone, drained":    {breakOff, []Entry{state(warm, Departed), state(warm, Draining), warm}, stateEjected, 1},
		"isolated, new start":        {breakOff, []Entry{cold}, stateSlowStart, 0.4},
		"isolated, gone, new start":  {breakOff, []Entry{state(warm, Departed), cold}, stateSlowStart, 0.4},
		"listed for the first time":  {nil, []Entry{{Endpoint: 9, Weight: 1}}, stateSlowStart, 0.99},
		"first of all, draining":     {nil, []Entry{{Endpoint: 9, Weight: 1, State: Draining}}, stateDraining, 1},
		"unknown, and already gone":  {nil, []Entry{{Endpoint: 9, Weight: 1, State: Departed}}, stateDraining, 1},
		"of a start that is passed":  {nil, []Entry{{Endpoint: 1, Weight: 1, Started: 2 * time.Second}}, stateSlowStart, 0.99},
		"many servers at once, gone": {nil, []Entry{state(warm, Departed)}, stateDraining, 1},
	} {
		h := start(t, settings(), 4)
		h.now = started // the harness starts at 1 s: all its endpoints are warm by now
		if c.before != nil {
			c.before(h)
		}
		for i, e := range c.lists {
			h.applyDelta(uint64(3+i), e)
			h.now += 500 * ms
		}
		e := h.b.byID[c.lists[0].Endpoint]
		if e == nil {
			e = &endpoint{state: stateDraining} // forgotten: it gets nothing
		}
		if got := h.b.capacityShare(h.now, e); e.state != c.want || got > c.share {
			t.Errorf("%s: mark %d, share %.2f, want %d and at most %.2f", name, e.state, got, c.want, c.share)
		}
		if h.b.inFlight != 0 {
			t.Errorf("%s: %d calls out", name, h.b.inFlight)
		}
		if c.want != stateEjected {
			continue
		}
		// It is not lost for good: a trial that is served has it back.
		for range 200 {
			h.serve(1, nil)
		}
		if e = h.b.byID[1]; e.state > stateSlowStart {
			t.Errorf("%s: mark %d after trials that are served", name, e.state)
		}
	}
}

// An endpoint that departs and returns while calls run there still has them: in its load, in the calls in
// flight, and in what it is judged by. It gets no new slow-start token each time.
func TestCallsInFlightCountAfterEndpointReturns(t *testing.T) {
	for _, during := range []string{"ready", "isolated"} {
		h := start(t, settings(), 2)
		h.serve(60, nil)
		var at1 []sentCall
		for range 4 {
			h.request(read)
			if h.last().to == 1 {
				at1 = append(at1, h.last())
			}
		}
		if during == "isolated" {
			h.b.eject(h.now, h.b.byID[1], "silent")
		}
		h.applyDelta(3, Entry{Endpoint: 1, State: Departed})
		h.applyDelta(4, Entry{Endpoint: 1, Weight: 1})
		e := h.b.byID[1]
		if got := h.b.callsAt(h.now, e); got != len(at1) || len(at1) == 0 {
			t.Errorf("%s: load %d with %d calls running", during, got, len(at1))
		}
		tokens := e.slowStartTokens
		for v := uint64(5); v < 25; v += 2 {
			h.applyDelta(v, Entry{Endpoint: 1, State: Departed})
			h.applyDelta(v+1, Entry{Endpoint: 1, Weight: 1})
		}
		if e = h.b.byID[1]; e.state == stateSlowStart && e.slowStartTokens > tokens {
			t.Errorf("%s: its ramp may send %.2f at once, %.2f before it flapped", during, e.slowStartTokens, tokens)
		}
		for _, s := range slices.Clone(h.sent) {
			if h.b.requests[s.id] != nil {
				h.reportOutcome(s, OK, 20*ms)
			}
		}
		h.advance(100 * ms)
		if h.b.inFlight != 0 || len(h.b.byID[1].calls) != 0 || len(h.b.requests) != 0 {
			t.Errorf("%s: %d out, %d at the endpoint, %d requests left", during, h.b.inFlight, len(h.b.byID[1].calls), len(h.b.requests))
		}
	}
}

// A list that is older than the present one changes nothing, unless versions count anew.
func TestOlderListsAreIgnored(t *testing.T) {
	ready := Entry{Endpoint: 1, Weight: 1}
	for name, c := range map[string]struct {
		known State
		late  List
		want  bool // endpoint 1 may be called after it
	}{
		"ready after draining":        {Draining, List{Kind: DeltaList, Version: 6, Entries: []Entry{ready}}, false},
		"ready after gone":            {Departed, List{Kind: DeltaList, Version: 6, Entries: []Entry{ready}}, false},
		"whole after gone":            {Departed, List{Kind: FullList, Version: 6, Entries: []Entry{ready}}, false},
		"gone after ready":            {Ready, List{Kind: DeltaList, Version: 6, Entries: []Entry{{Endpoint: 1, State: Departed}}}, true},
		"whole without it":            {Ready, List{Kind: FullList, Version: 6}, true},
		"newer":                       {Departed, List{Kind: DeltaList, Version: 8, Entries: []Entry{ready}}, true},
		"the same again":              {Draining, List{Kind: DeltaList, Version: 7, Entries: []Entry{{Endpoint: 1, State: Draining}}}, false},
		"another discovery's, ready":  {Departed, List{Kind: FullList, Version: 2, VersionsRestart: true, Entries: []Entry{ready}}, true},
		"another discovery's, absent": {Ready, List{Kind: FullList, Version: 2, VersionsRestart: true}, false},
	} {
		h := start(t, settings(), 2)
		h.applyDelta(7, Entry{Endpoint: 1, Weight: 1, State: c.known})
		h.b.Targets(h.now, c.late)
		e := h.b.byID[1]
		if got := e != nil && e.listed && e.state <= stateSlowStart; got != c.want {
			t.Errorf("%s: may be called %v", name, got)
		}
	}
}

// While lists fail one watch follows another, and no more of them with each failure: a discovery that is
// down must not be asked more and more often.
func TestFailedListsDoNotAddWatches(t *testing.T) {
	s := settings()
	s.PullDiscovery = true
	h := start(t, s, 4)
	h.serve(40, nil)
	h.advance(2 * time.Second)
	// Each watch fails, and each fetch, that connections which break ask for.
	before, from := h.watches+h.fetches, h.now
	told, asked := before, h.now
	h.b.Targets(h.now, List{Kind: FailedList})
	for h.now < from+120*time.Second {
		h.request(read)
		h.reportOutcome(h.last(), ConnectFailed, ms)
		for len(h.sent) > 0 && h.b.requests[h.last().id] != nil {
			h.reportOutcome(h.last(), ConnectFailed, ms)
		}
		watches := h.watches
		h.advance(100 * ms)
		for ; told < h.watches+h.fetches; told++ {
			h.b.Targets(h.now, List{Kind: FailedList})
		}
		// What changes counts as told 6 s after discovery could be reached: one call may hang for 2 s before, and one
		// may wait as long for its answer.
		if h.watches > watches {
			asked = h.now
		} else if h.now-asked > 2*time.Second {
			t.Fatalf("no watch for %v", h.now-asked)
		}
	}
	// A watch each 1.3 s once the pause has grown, four until then, and a fetch each 3.75 s at the least.
	if got := h.watches + h.fetches - before; got > 120*10/13+4+32 {
		t.Errorf("%d calls in two minutes (%d watches)", got, h.watches)
	}
	if h.duplicateTimers > 0 {
		t.Errorf("%d timers set while one was running", h.duplicateTimers)
	}
}

// A change counts as known 6 s after discovery could be reached, whatever became of the calls before. Two
// calls in a row that hang for 2 s, the longest time that a watch is waited for, leave time for a third;
// calls that are refused at once are not made more often for that.
func TestHungWatchIsReplacedInTime(t *testing.T) {
	const hangs = 2 * time.Second
	for _, askEvery := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, time.Minute} {
		s := settings()
		s.PullDiscovery, s.DiscoveryInterval = true, askEvery
		h := start(t, s, 4)
		h.advance(3 * time.Second)
		h.b.Targets(h.now, List{Kind: FailedList})
		var began []time.Duration
		for watches := h.watches; len(began) < 12; {
			h.advance(20 * ms)
			if h.watches > watches {
				watches, began = h.watches, append(began, h.now)
				h.advance(hangs)
				h.b.Targets(h.now, List{Kind: FailedList})
			}
			if len(began) > 0 && h.now-began[len(began)-1] > 4*hangs {
				t.Fatalf("asked each %v: no further watch", askEvery)
			}
		}
		for i := 2; i < len(began); i++ {
			if third := began[i] - began[i-2]; third > 5300*ms {
				t.Errorf("asked each %v: the third call began %v after the first, which had hung", askEvery, third)
			}
		}
	}
}
