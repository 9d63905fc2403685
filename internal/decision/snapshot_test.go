package decision

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

// A process that starts on an overloaded tier learns the latencies of the overload, and keeps enough calls in
// flight to prolong it. A process that has restored a snapshot uses the latencies of little load.
func TestSuccessorUsesRestoredStatistics(t *testing.T) {
	predecessor := start(t, settings(), 6)
	predecessor.serveBatches(8, 100*ms, 8*time.Second)
	overload := func(h *harness) *harness { h.serveBatches(40, 600*ms, 4*time.Second); return h }
	restored, unrestored := overload(predecessor.successor(settings(), 6)), overload(start(t, settings(), 6))
	if without, with := unrestored.requestUntilLimit(), restored.requestUntilLimit(); with > without*2/3 {
		t.Errorf("%d calls with a restored snapshot, %d without, want at most two thirds", with, without)
	}
	if base := restored.b.classes[read].baseLatency; base < 0.09 || base > 0.2 {
		t.Errorf("base latency %v after the overload, want 0.09 to 0.2", base)
	}
	successor := predecessor.successor(settings(), 6)
	got, want := successor.requestUntilLimit(), predecessor.requestUntilLimit()
	if got < want-1 || got > want+1 {
		t.Errorf("%d calls at the start of the successor, %d in the preceding process, want about the same",
			got, want)
	}
}

// Two processes of one instance together have no more calls in flight than one process may have.
func TestPredecessorCallsCountInLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		calls map[EndpointID]int
		after time.Duration      // time since the report
		next  map[EndpointID]int // calls of a second report, if any
		less  int                // by how much the successor's calls are reduced
	}{
		"two endpoints": {calls: map[EndpointID]int{1: 5, 2: 4}, less: 9},
		"some calls have ended": {
			calls: map[EndpointID]int{1: 5, 2: 4}, next: map[EndpointID]int{2: 1}, less: 1,
		},
		"all calls have ended":     {calls: map[EndpointID]int{1: 5, 2: 4}, next: map[EndpointID]int{}},
		"report has expired":       {calls: map[EndpointID]int{1: 5, 2: 4}, after: 600 * ms},
		"unknown endpoints":        {calls: map[EndpointID]int{77: 9, 78: 9}},
		"negative number of calls": {calls: map[EndpointID]int{1: -9}},
	} {
		h, alone := start(t, settings(), 6), start(t, settings(), 6)
		h.b.SetPredecessorCalls(h.now, tc.calls, h.now+500*ms)
		h.advance(tc.after)
		if tc.next != nil {
			h.b.SetPredecessorCalls(h.now, tc.next, h.now+500*ms)
		}
		if got, want := h.requestUntilLimit(), alone.requestUntilLimit()-tc.less; got != want {
			t.Errorf("%s: %d calls sent, want %d", name, got, want)
		}
	}
	h := start(t, settings(), 2)
	h.b.SetPredecessorCalls(h.now, map[EndpointID]int{1: 3}, h.now+500*ms)
	for range 3 {
		if h.request(read); h.last().to != 2 {
			t.Error("a call went to the endpoint with more calls in flight")
		}
	}
}

// Queued requests are sent when the preceding process reports that its calls have ended, or when its last
// report expires.
func TestQueuedCallsAreSentWhenPredecessorCallsEnd(t *testing.T) {
	for name, wait := range map[string]time.Duration{"calls ended": 0, "report expired": 520 * ms} {
		h := start(t, settings(), 6)
		h.serveBatches(4, 50*ms, 3*time.Second)
		h.b.SetPredecessorCalls(h.now, map[EndpointID]int{1: 50}, h.now+500*ms)
		before := len(h.sent)
		if h.request(read); len(h.sent) > before {
			t.Fatalf("%s: a call was sent in addition to 50 of the preceding process", name)
		}
		if wait == 0 {
			h.b.SetPredecessorCalls(h.now, nil, h.now+500*ms)
		}
		if h.advance(wait); len(h.sent) == before {
			t.Errorf("%s: the request is still queued", name)
		}
	}
}

// An endpoint that was ejected or in slow start in the preceding process is so in the successor.
func TestEndpointStatesAreRestored(t *testing.T) {
	predecessor := start(t, settings(), 6)
	predecessor.serveBatches(6, 20*ms, 4*time.Second)
	predecessor.request(read)
	broken := predecessor.last().to
	predecessor.reportOutcome(predecessor.last(), Reset, ms)
	successor := predecessor.successor(settings(), 6)
	if n := successor.serve(10, func(EndpointID) Status { return OK })[broken]; n > 0 {
		t.Errorf("%d calls to an ejected endpoint, want 0", n)
	}
	for predecessor.b.byID[broken].state == stateEjected {
		predecessor.serveBatches(1, 20*ms, 20*ms)
	}
	calls := predecessor.successor(settings(), 6).serve(100, func(EndpointID) Status { return OK })
	if n := calls[broken]; n > 9 {
		t.Errorf("%d of 100 calls to an endpoint in slow start, want at most 9", n)
	}
}

// Nothing is restored from a snapshot with an invalid value, or from a process that has seen fewer latency
// windows.
func TestInvalidSnapshotIsNotRestored(t *testing.T) {
	predecessor := start(t, settings(), 6)
	predecessor.serveBatches(8, 100*ms, 8*time.Second)
	valid := predecessor.b.Snapshot(predecessor.now)
	for key, change := range map[string]func(*Snapshot){
		"classes":      func(s *Snapshot) { s.Classes = s.Classes[:1] },
		"classes[1]":   func(s *Snapshot) { s.Classes[1].Name = "other" },
		"usual":        func(s *Snapshot) { s.Classes[0].UsualLatency = math.Inf(1) },
		"latency":      func(s *Snapshot) { s.Classes[0].MeanLatency = 0 },
		"windows":      func(s *Snapshot) { s.Classes[0].Windows = -1 },
		"maxLeft":      func(s *Snapshot) { s.Classes[0].MaxRemaining = -1 },
		"1].maxLeft":   func(s *Snapshot) { s.Classes[1].MaxRemaining = time.Hour }, // longer than the deadline
		"rate.peak":    func(s *Snapshot) { s.BaseLoad.Peak = math.NaN() },
		"served.now":   func(s *Snapshot) { s.AnswerRate.Current = math.Inf(1) },
		"errors":       func(s *Snapshot) { s.ErrorRate = 1.1 },
		"kinds[0]":     func(s *Snapshot) { s.KindLatency = []MeanSnapshot{{0, 3}} },
		"services[0]":  func(s *Snapshot) { s.KindServiceTime = []MeanSnapshot{{1, -3}} },
		"endpoints[1]": func(s *Snapshot) { s.Endpoints[1].LatencyRatio.Count = math.NaN() },
		"losses":       func(s *Snapshot) { s.Endpoints[0].LossRate = 2 },
		"ramped":       func(s *Snapshot) { s.Endpoints[0].SlowStartAge = -1 },
		"shares[0]":    func(s *Snapshot) { s.TenantTokens = []float64{math.NaN()} },
	} {
		snapshot := valid
		snapshot.Classes = append([]ClassSnapshot(nil), snapshot.Classes...)
		snapshot.Endpoints = append([]EndpointSnapshot(nil), snapshot.Endpoints...)
		change(&snapshot)
		h := start(t, settings(), 6)
		before := h.b.Snapshot(h.now)
		if err := h.b.Restore(h.now, snapshot); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v does not name the value", key, err)
		}
		if after := h.b.Snapshot(h.now); !reflect.DeepEqual(before, after) {
			t.Errorf("%s: the statistics changed to %+v", key, after)
		}
	}
	h := start(t, settings(), 6)
	h.serveBatches(8, 50*ms, 16*time.Second)
	before := h.b.Snapshot(h.now)
	if err := h.b.Restore(h.now, valid); err != nil || !reflect.DeepEqual(before, h.b.Snapshot(h.now)) {
		t.Errorf("the statistics of a process with fewer windows were restored, or error %v", err)
	}
}

// The size of a snapshot is bounded, also with many endpoints.
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
		t.Errorf("%d bytes, %d endpoints, error %v", len(text), len(h.b.Snapshot(h.now).Endpoints), err)
	}
}
