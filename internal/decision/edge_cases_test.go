package decision

import (
	"math"
	"slices"
	"testing"
	"time"
)

// tell hands over a list of one line.
func (d *harness) applyDelta(version uint64, e Entry) {
	d.b.Targets(d.now, List{Kind: DeltaList, Version: version, Entries: []Entry{e}})
}

// However a server leaves and comes back: what it was isolated for holds until a trial call is served or a new start is
// named, what is cold stays so, and what returns ramps.
func TestReturningEndpointKeepsEjectionAndWarmUp(t *testing.T) {
	const started = 21 * time.Second // of one that is cold for ten seconds from then on
	cold := Entry{Endpoint: 1, Weight: 1, Started: started}
	warm := Entry{Endpoint: 1, Weight: 1}
	state := func(e Entry, s State) Entry { e.State = s; return e }
	breakOff := func(d *harness) {
		for range 40 {
			d.request(read)
			s := d.last()
			if s.to != 1 {
				d.finish(s, OK, 20*ms)
				continue
			}
			d.finish(s, Reset, ms)
			d.finish(d.last(), OK, 20*ms)
			return
		}
		t.Fatal("endpoint 1 is never drawn")
	}
	for name, c := range map[string]struct {
		before func(d *harness)
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
		d := start(t, settings(), 4)
		d.now = started // the bed starts at 1 s: all that it knows is warm by now
		if c.before != nil {
			c.before(d)
		}
		for i, e := range c.lists {
			d.applyDelta(uint64(3+i), e)
			d.now += 500 * ms
		}
		e := d.b.byID[c.lists[0].Endpoint]
		if e == nil {
			e = &endpoint{state: stateDraining} // forgotten: it gets nothing
		}
		if got := d.b.capacityShare(d.now, e); e.state != c.want || got > c.share {
			t.Errorf("%s: mark %d, share %.2f, want %d and at most %.2f", name, e.state, got, c.want, c.share)
		}
		if d.b.inFlight != 0 {
			t.Errorf("%s: %d calls out", name, d.b.inFlight)
		}
		if c.want != stateEjected {
			continue
		}
		// It is not lost for good: a trial that is served has it back.
		for range 200 {
			d.serve(1, nil)
		}
		if e = d.b.byID[1]; e.state > stateSlowStart {
			t.Errorf("%s: mark %d after trials that are served", name, e.state)
		}
	}
}

// A cold server that fell silent, and answers a trial, is as cold as its start says.
func TestTrialDoesNotShortenWarmUp(t *testing.T) {
	d := start(t, settings(), 4)
	d.now = 21 * time.Second
	d.applyDelta(3, Entry{Endpoint: 1, Weight: 1, Started: d.now})
	d.now += time.Second
	e := d.b.byID[1]
	d.b.eject(d.now, e, "silent")
	d.b.endEjection(d.now, e)
	if got := d.b.capacityShare(d.now, e); e.state != stateSlowStart || got > 0.3 {
		t.Errorf("mark %d, share %.2f one second after its start", e.state, got)
	}
}

// A server that is gone and comes back while calls to it run has them still: in its load, in what is out, and in what
// it is judged by; and it has no fresh ramp budget each time.
func TestCallsInFlightCountAfterEndpointReturns(t *testing.T) {
	for _, during := range []string{"ready", "isolated"} {
		d := start(t, settings(), 2)
		d.serve(60, nil)
		var at1 []sent
		for range 4 {
			d.request(read)
			if d.last().to == 1 {
				at1 = append(at1, d.last())
			}
		}
		if during == "isolated" {
			d.b.eject(d.now, d.b.byID[1], "silent")
		}
		d.applyDelta(3, Entry{Endpoint: 1, State: Departed})
		d.applyDelta(4, Entry{Endpoint: 1, Weight: 1})
		e := d.b.byID[1]
		if got := d.b.callsAt(d.now, e); got != len(at1) || len(at1) == 0 {
			t.Errorf("%s: load %d with %d calls running", during, got, len(at1))
		}
		tokens := e.slowStartTokens
		for v := uint64(5); v < 25; v += 2 {
			d.applyDelta(v, Entry{Endpoint: 1, State: Departed})
			d.applyDelta(v+1, Entry{Endpoint: 1, Weight: 1})
		}
		if e = d.b.byID[1]; e.state == stateSlowStart && e.slowStartTokens > tokens {
			t.Errorf("%s: its ramp may send %.2f at once, %.2f before it flapped", during, e.slowStartTokens, tokens)
		}
		for _, s := range slices.Clone(d.sent) {
			if d.b.requests[s.id] != nil {
				d.finish(s, OK, 20*ms)
			}
		}
		d.advance(100 * ms)
		if d.b.inFlight != 0 || len(d.b.byID[1].calls) != 0 || len(d.b.requests) != 0 {
			t.Errorf("%s: %d out, %d at the endpoint, %d requests left", during, d.b.inFlight, len(d.b.byID[1].calls), len(d.b.requests))
		}
	}
}

// News that is older than what is known changes nothing, unless it is another discovery's.
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
		d := start(t, settings(), 2)
		d.applyDelta(7, Entry{Endpoint: 1, Weight: 1, State: c.known})
		d.b.Targets(d.now, c.late)
		e := d.b.byID[1]
		if got := e != nil && e.listed && e.state <= stateSlowStart; got != c.want {
			t.Errorf("%s: may be called %v", name, got)
		}
	}
}

// An outcome, or the beginning of an answer, that is of no attempt that is out is passed over: nothing is sent while
// another attempt is out, and nothing is answered twice.
func TestOutcomesOfOtherAttemptsAreIgnored(t *testing.T) {
	for name, late := range map[string]func(d *harness, first, now sent){
		"told twice":           func(d *harness, first, now sent) { d.finish(first, Error, 20*ms) },
		"twice, never ran":     func(d *harness, first, now sent) { d.finish(first, Rejected, 20*ms) },
		"twice, reset":         func(d *harness, first, now sent) { d.finish(first, Reset, 20*ms) },
		"twice, timed out":     func(d *harness, first, now sent) { d.finish(first, Timeout, 20*ms) },
		"of another endpoint":  func(d *harness, first, now sent) { now.to = first.to; d.finish(now, Error, 20*ms) },
		"of one still to come": func(d *harness, first, now sent) { now.attempt++; d.finish(now, Error, 20*ms) },
		"begun":                func(d *harness, first, now sent) { d.b.ResponseStarted(d.now, first.id, first.attempt, first.to) },
		"after it was over": func(d *harness, first, now sent) {
			d.finish(now, OK, 20*ms)
			d.finish(now, Error, 20*ms)
		},
	} {
		d := start(t, settings(), 4)
		d.serve(60, nil)
		id := d.request(read)
		first := d.last()
		d.finish(first, Error, 20*ms)
		now := d.last()
		if now.id != id || now.attempt != 1 {
			t.Fatalf("%s: %v is not sent again", name, first)
		}
		sends := len(d.sent)
		late(d, first, now)
		over := d.b.requests[id] == nil
		if len(d.sent) != sends || len(d.fails)+len(d.refusals) > 0 || over != (name == "after it was over") {
			t.Errorf("%s: %d sent, %v failed, %v refused, over %v", name, len(d.sent)-sends, d.fails, d.refusals, over)
		}
		if !over {
			d.finish(now, OK, 20*ms)
		}
		if d.b.inFlight != 0 || len(d.b.requests) != 0 || len(d.fails)+len(d.refusals) > 0 {
			t.Errorf("%s: %d out, %d requests, %v failed, %v refused", name, d.b.inFlight, len(d.b.requests), d.fails, d.refusals)
		}
	}
}

// What nobody can serve is given up at once, and a refusal says when to come back: it is not held until its time is
// nearly up, so that its client stays quiet.
func TestNoRequestIsQueuedInVain(t *testing.T) {
	all := func(d *harness, s State) {
		l := List{Kind: DeltaList, Version: 3}
		for id := EndpointID(1); id <= 4; id++ {
			l.Entries = append(l.Entries, Entry{Endpoint: id, Cell: int(id-1) / 2, State: s})
		}
		d.b.Targets(d.now, l)
	}
	held := func(d *harness) RequestID {
		for {
			if id := d.request(read); len(d.b.queue) > 0 {
				return d.b.queue[0].id
			} else if d.b.requests[id] == nil {
				t.Fatal("nothing is ever held")
			}
		}
	}
	for name, c := range map[string]struct {
		play func(d *harness) RequestID
		fail bool // it may have run, so that it must not be refused
	}{
		"no list": {func(d *harness) RequestID {
			d.b.Targets(d.now, List{Kind: FullList, Version: 3})
			return d.request(read)
		}, false},
		"all drain":           {func(d *harness) RequestID { all(d, Draining); return d.request(read) }, false},
		"all are gone":        {func(d *harness) RequestID { all(d, Departed); return d.request(pay) }, false},
		"all drain, it waits": {func(d *harness) RequestID { id := held(d); all(d, Draining); return id }, false},
		"all go, it waits":    {func(d *harness) RequestID { id := held(d); all(d, Departed); return id }, false},
		"its only one drains": {func(d *harness) RequestID {
			id := d.request(read)
			s := d.last()
			all(d, Draining)
			d.finish(s, Rejected, 10*ms)
			return id
		}, false},
		"its cell drains": {func(d *harness) RequestID {
			id := d.request(book)
			s := d.last()
			cell := (s.to - 1) / 2
			for v := range EndpointID(2) {
				d.applyDelta(uint64(3+v), Entry{Endpoint: 2*cell + 1 + v, Cell: int(cell), State: Draining})
			}
			d.finish(s, Error, 10*ms)
			return id
		}, true},
		"its window is over": {func(d *harness) RequestID {
			id := d.request(book)
			s := d.last()
			d.advance(400 * ms)
			d.finish(s, Error, 400*ms)
			return id
		}, true},
	} {
		for _, marks := range []bool{false, true} {
			s := settings()
			s.ClientsMarkRetries, s.MaxRetryAfter = marks, 2*time.Second
			s.Classes[read].LateValue, s.Classes[book].LateValue = 0.5, 0.5
			s.Classes[book].Window = 300 * ms
			d := start(t, s, 4)
			id := c.play(d)
			switch r := d.b.requests[id]; {
			case r != nil && r.queued:
				t.Errorf("%s, marks %v: it is held, with %v left", name, marks, r.deadline-d.now)
			case c.fail != slices.Contains(d.fails, id) || c.fail == slices.Contains(d.refusals, id):
				t.Errorf("%s, marks %v: failed %v, refused %v", name, marks, d.fails, d.refusals)
			}
			for i, after := range d.retryAfters {
				if after <= 0 || after > s.MaxRetryAfter {
					t.Errorf("%s, marks %v: %s is told to come back after %v", name, marks, d.refusals[i], after)
				}
			}
		}
	}
}

// While lists fail there is one watch after another, and no more with each failure: the discovery that is down must not
// be asked ever more often by those that it fails.
func TestFailedListsDoNotAddWatches(t *testing.T) {
	s := settings()
	s.PullDiscovery = true
	d := start(t, s, 4)
	d.serve(40, nil)
	d.advance(2 * time.Second)
	// Each watch fails, and each fetch, that connections which break ask for.
	before, from := d.watches+d.fetches, d.now
	told, asked := before, d.now
	d.b.Targets(d.now, List{Kind: FailedList})
	for d.now < from+120*time.Second {
		d.request(read)
		d.finish(d.last(), ConnectFailed, ms)
		for len(d.sent) > 0 && d.b.requests[d.last().id] != nil {
			d.finish(d.last(), ConnectFailed, ms)
		}
		watches := d.watches
		d.advance(100 * ms)
		for ; told < d.watches+d.fetches; told++ {
			d.b.Targets(d.now, List{Kind: FailedList})
		}
		// What changes counts as told 6 s after discovery could be reached: one call may hang for 2 s before, and one
		// may wait as long for its answer.
		if d.watches > watches {
			asked = d.now
		} else if d.now-asked > 2*time.Second {
			t.Fatalf("no watch for %v", d.now-asked)
		}
	}
	// A watch each 1.3 s once the pause has grown, four until then, and a fetch each 3.75 s at the least.
	if got := d.watches + d.fetches - before; got > 120*10/13+4+32 {
		t.Errorf("%d calls in two minutes (%d watches)", got, d.watches)
	}
	if d.duplicateTimers > 0 {
		t.Errorf("%d timers set while one was running", d.duplicateTimers)
	}
}

// What changes counts as told 6 s after discovery could be reached, whatever became of the calls before. Two calls in a row
// that hang for 2 s, the longest that a watch is waited for, leave time for the third; what is refused at once is asked no
// more often for that.
func TestHungWatchIsReplacedInTime(t *testing.T) {
	const hangs = 2 * time.Second
	for _, askEvery := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, time.Minute} {
		s := settings()
		s.PullDiscovery, s.DiscoveryInterval = true, askEvery
		d := start(t, s, 4)
		d.advance(3 * time.Second)
		d.b.Targets(d.now, List{Kind: FailedList})
		var began []time.Duration
		for watches := d.watches; len(began) < 12; {
			d.advance(20 * ms)
			if d.watches > watches {
				watches, began = d.watches, append(began, d.now)
				d.advance(hangs)
				d.b.Targets(d.now, List{Kind: FailedList})
			}
			if len(began) > 0 && d.now-began[len(began)-1] > 4*hangs {
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

// A server of which every answer is of no use, or that breaks off each connection it accepts, is isolated like one that
// fails fast; where every server spoils some, or all do alike, none is.
func TestEndpointWithOnlyInvalidResponsesIsEjected(t *testing.T) {
	for name, c := range map[string]struct {
		spoils func(d *harness, to EndpointID) bool
		most   int // calls of 400 to endpoint 1
		least  int
		marked bool
	}{
		"one spoils all":   {func(d *harness, to EndpointID) bool { return to == 1 }, 40, 1, true},
		"each spoils some": {func(d *harness, to EndpointID) bool { return d.b.rng.Float64() < 0.1 }, 400, 70, false},
		"all spoil all":    {func(d *harness, to EndpointID) bool { return true }, 800, 70, false},
	} {
		d := start(t, settings(), 4)
		d.serve(60, nil)
		got := d.serve(400, func(to EndpointID) Status {
			if c.spoils(d, to) {
				return InvalidResponse
			}
			return OK
		})
		if got[1] > c.most || got[1] < c.least || (len(d.logs) > 0) != c.marked {
			t.Errorf("%s: %d calls to it, %v", name, got[1], d.logs)
		}
	}
}

// However often what was sent never ran, a request has so many attempts, and then its answer: also where the platform
// names no bound.
func TestAttemptsOfRequestAreBounded(t *testing.T) {
	for _, status := range []Status{Rejected, ConnectFailed, NotSent} {
		for most, want := range map[int]int{4: 4, 0: maxRetryTokens} {
			s := settings()
			s.MaxAttempts = most
			d := start(t, s, 3)
			id := d.request(pay)
			for at := 0; at < len(d.sent) && at <= 100; at++ {
				d.finish(d.sent[at], status, ms)
				d.advance(10 * ms)
			}
			if got := d.attempts[id]; got > want || len(d.refusals) != 1 {
				t.Errorf("%v with a bound of %d: %d attempts, refused %v", status, most, got, d.refusals)
			}
		}
	}
}

// A list with a weight that cannot be is taken as one without weights: each server is called, as if all were alike.
func TestImplausibleWeightsAreIgnored(t *testing.T) {
	for _, odd := range []float64{1e308, math.Inf(1), math.NaN(), -1, 0} {
		d := start(t, settings(), 4)
		d.applyDelta(3, Entry{Endpoint: 2, Weight: odd})
		got := d.serve(200, nil)
		for id := EndpointID(1); id <= 4; id++ {
			if got[id] < 20 {
				t.Errorf("weight %v: calls %v", odd, got)
			}
		}
	}
}

// Where the one server that is not isolated is the one that a request has just failed at, it goes there again or is
// given up: nothing that comes could change that, and it is not held until its time is nearly up.
func TestRetryUsesLastHealthyEndpointOrEnds(t *testing.T) {
	for _, status := range []Status{Error, InvalidResponse, Reset, ConnectFailed} {
		d := start(t, settings(), 2)
		d.serve(60, nil)
		for range 30 {
			d.request(read)
			at := len(d.sent) - 1
			for ; at < len(d.sent); at++ {
				d.finish(d.sent[at], status, 10*ms)
			}
			d.advance(100 * ms)
			for ; at < len(d.sent); at++ { // a trial, or what waited a moment
				d.finish(d.sent[at], status, 10*ms)
			}
			if len(d.b.queue) > 0 {
				t.Errorf("%v: %s is held after %d attempts, with none out", status, d.b.queue[0].id, d.b.queue[0].attempts)
				break
			}
		}
	}
}
