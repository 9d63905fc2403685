package decision

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

// A process that starts on an overloaded tier learns overloaded latencies, and keeps as many calls in
// flight as keep it overloaded. One that has restored a snapshot uses the latencies of little load.
func TestSuccessorUsesRestoredStatistics(t *testing.T) {
	elder := start(t, settings(), 6)
	elder.serveBatches(8, 100*ms, 8*time.Second)
	crowd := func(h *harness) *harness { h.serveBatches(40, 600*ms, 4*time.Second); return h }
	told, alone := crowd(elder.successor(settings(), 6)), crowd(start(t, settings(), 6))
	if most, least := alone.requestUntilLimit(), told.requestUntilLimit(); least > most*2/3 {
		t.Errorf("%d in flight after inheriting, %d without", least, most)
	}
	if base := told.b.classes[read].baseLatency; base < 0.09 || base > 0.2 {
		t.Errorf("its base latency is %v", base)
	}
	fresh := elder.successor(settings(), 6)
	if own, theirs := fresh.requestUntilLimit(), elder.requestUntilLimit(); own < theirs-1 || own > theirs+1 {
		t.Errorf("%d in flight at first, %d in the process before", own, theirs)
	}
}

// Two processes of one instance together have as many calls in flight as one may have.
func TestPredecessorCallsCountInLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		calls map[EndpointID]int
		after time.Duration // from the report on
		again map[EndpointID]int
		less  int
	}{
		"in flight":                 {calls: map[EndpointID]int{1: 5, 2: 4}, less: 9},
		"some have ended":           {calls: map[EndpointID]int{1: 5, 2: 4}, again: map[EndpointID]int{2: 1}, less: 1},
		"all have ended":            {calls: map[EndpointID]int{1: 5, 2: 4}, again: map[EndpointID]int{}},
		"it says nothing any more":  {calls: map[EndpointID]int{1: 5, 2: 4}, after: 600 * ms},
		"at endpoints that are not": {calls: map[EndpointID]int{77: 9, 78: 9}},
		"no number of calls":        {calls: map[EndpointID]int{1: -9}},
	} {
		h, alone := start(t, settings(), 6), start(t, settings(), 6)
		h.b.SetPredecessorCalls(h.now, tc.calls, h.now+500*ms)
		h.advance(tc.after)
		if tc.again != nil {
			h.b.SetPredecessorCalls(h.now, tc.again, h.now+500*ms)
		}
		if got, want := h.requestUntilLimit(), alone.requestUntilLimit()-tc.less; got != want {
			t.Errorf("%s: %d sent, want %d", name, got, want)
		}
	}
	h := start(t, settings(), 2)
	h.b.SetPredecessorCalls(h.now, map[EndpointID]int{1: 3}, h.now+500*ms)
	for range 3 {
		if h.request(read); h.last().to != 2 {
			t.Error("a call to the endpoint with more in flight")
		}
	}
}

// Queued calls are sent when the preceding process reports that its own have ended, or reports no more.
func TestQueuedCallsAreSentWhenPredecessorCallsEnd(t *testing.T) {
	for name, wait := range map[string]time.Duration{"said": 0, "silence": 520 * ms} {
		h := start(t, settings(), 6)
		h.serveBatches(4, 50*ms, 3*time.Second)
		h.b.SetPredecessorCalls(h.now, map[EndpointID]int{1: 50}, h.now+500*ms)
		at := len(h.sent)
		if h.request(read); len(h.sent) > at {
			t.Fatalf("%s: sent beside 50", name)
		}
		if wait == 0 {
			h.b.SetPredecessorCalls(h.now, nil, h.now+500*ms)
		}
		if h.advance(wait); len(h.sent) == at {
			t.Errorf("%s: still held", name)
		}
	}
}

// An endpoint that was ejected or in slow start at the preceding process is not a fresh one to its
// successor.
func TestEndpointStatesAreRestored(t *testing.T) {
	elder := start(t, settings(), 6)
	elder.serveBatches(6, 20*ms, 4*time.Second)
	elder.request(read)
	broken := elder.last().to
	elder.reportOutcome(elder.last(), Reset, ms)
	heir := elder.successor(settings(), 6)
	if n := heir.serve(10, func(EndpointID) Status { return OK })[broken]; n > 0 {
		t.Errorf("%d calls to an endpoint that is isolated", n)
	}
	for elder.b.byID[broken].state == stateEjected {
		elder.serveBatches(1, 20*ms, 20*ms)
	}
	back := elder.successor(settings(), 6).serve(100, func(EndpointID) Status { return OK })
	if n := back[broken]; n > 9 {
		t.Errorf("%d of 100 calls to an endpoint that ramps", n)
	}
}

// Of a snapshot with an impossible value nothing is restored, nor of one of a process that has seen less.
func TestInvalidSnapshotIsNotRestored(t *testing.T) {
	elder := start(t, settings(), 6)
	elder.serveBatches(8, 100*ms, 8*time.Second)
	good := elder.b.Snapshot(elder.now)
	for fault, change := range map[string]func(*Snapshot){
		"classes":      func(l *Snapshot) { l.Classes = l.Classes[:1] },
		"classes[1]":   func(l *Snapshot) { l.Classes[1].Name = "other" },
		"usual":        func(l *Snapshot) { l.Classes[0].UsualLatency = math.Inf(1) },
		"latency":      func(l *Snapshot) { l.Classes[0].MeanLatency = 0 },
		"windows":      func(l *Snapshot) { l.Classes[0].Windows = -1 },
		"maxLeft":      func(l *Snapshot) { l.Classes[0].MaxRemaining = -1 },
		"1].maxLeft":   func(l *Snapshot) { l.Classes[1].MaxRemaining = time.Hour }, // every request would look like a late retry
		"rate.peak":    func(l *Snapshot) { l.BaseLoad.Peak = math.NaN() },
		"served.now":   func(l *Snapshot) { l.AnswerRate.Current = math.Inf(1) },
		"errors":       func(l *Snapshot) { l.ErrorRate = 1.1 },
		"kinds[0]":     func(l *Snapshot) { l.KindLatency = []MeanSnapshot{{0, 3}} },
		"services[0]":  func(l *Snapshot) { l.KindServiceTime = []MeanSnapshot{{1, -3}} },
		"endpoints[1]": func(l *Snapshot) { l.Endpoints[1].LatencyRatio.Count = math.NaN() },
		"losses":       func(l *Snapshot) { l.Endpoints[0].LossRate = 2 },
		"ramped":       func(l *Snapshot) { l.Endpoints[0].SlowStartAge = -1 },
		"shares[0]":    func(l *Snapshot) { l.TenantTokens = []float64{math.NaN()} },
	} {
		l := good
		l.Classes = append([]ClassSnapshot(nil), l.Classes...)
		l.Endpoints = append([]EndpointSnapshot(nil), l.Endpoints...)
		change(&l)
		h := start(t, settings(), 6)
		before := h.b.Snapshot(h.now)
		if err := h.b.Restore(h.now, l); err == nil || !strings.Contains(err.Error(), fault) {
			t.Errorf("%s: %v", fault, err)
		}
		if after := h.b.Snapshot(h.now); !reflect.DeepEqual(before, after) {
			t.Errorf("%s: something was taken: %+v", fault, after)
		}
	}
	h := start(t, settings(), 6)
	h.serveBatches(8, 50*ms, 16*time.Second)
	before := h.b.Snapshot(h.now)
	if err := h.b.Restore(h.now, good); err != nil || !reflect.DeepEqual(before, h.b.Snapshot(h.now)) {
		t.Errorf("the figures of a process that knows less are taken, %v", err)
	}
}

// A snapshot of many endpoints is bounded.
func TestSnapshotIsBounded(t *testing.T) {
	h := start(t, settings(), 3*maxSnapshotEndpoints)
	for _, e := range h.b.listed {
		e.id += 4e9
		h.b.recordLatencyRatio(e, 1/(1+h.b.rng.Float64()))
		e.serviceTime.add(1/(1+h.b.rng.Float64()), reportMeanWeight)
		e.errorRate, e.lossRate = h.b.rng.Float64(), h.b.rng.Float64()
	}
	text, err := json.Marshal(h.b.Snapshot(h.now))
	if err != nil || len(text) > 140<<10 || len(h.b.Snapshot(h.now).Endpoints) != maxSnapshotEndpoints {
		t.Errorf("%d bytes, %d endpoints, %v", len(text), len(h.b.Snapshot(h.now).Endpoints), err)
	}
}
