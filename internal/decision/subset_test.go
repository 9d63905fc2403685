package decision

import (
	"testing"
	"time"
)

// If each of many instances called every endpoint, the connection tables of the endpoints would be full.
func TestManyInstancesCallSubsets(t *testing.T) {
	s := settings()
	s.Instances = 30
	callers := map[EndpointID]int{}
	for i := range 30 {
		s.Ordinal = i
		h := start(t, s, 20)
		calls := h.serve(100, nil)
		if len(calls) != 2 {
			t.Fatalf("instance %d calls %d endpoints, want 2", i, len(calls))
		}
		for id := range calls {
			callers[id]++
		}
	}
	for id := EndpointID(1); id <= 20; id++ {
		if callers[id] != 3 {
			t.Errorf("endpoint %d is called by %d instances, want 3", id, callers[id])
		}
	}
}

// If instances outnumber endpoints, a subset of one endpoint would give small machines as many calls as large
// ones. Together the subsets must reach each endpoint in proportion to its weight.
func TestSmallSubsetsReachEndpointsByWeight(t *testing.T) {
	s := settings()
	s.Instances = 120
	reached, total := map[EndpointID]float64{}, 0.0
	for i := range s.Instances {
		s.Ordinal = i
		h := start(t, s, 0)
		l := List{Kind: FullList, Version: 2}
		for id := EndpointID(1); id <= 20; id++ {
			l.Entries = append(l.Entries, Entry{Endpoint: id, Weight: []float64{3, 0.5}[id%2]})
		}
		h.b.Targets(h.now, l)
		h.b.updateSubset()
		n := 0
		for _, e := range h.b.listed {
			reached[e.id] += e.subsetWeight
			total += e.subsetWeight
			if e.subsetWeight > 0 {
				n++
			}
		}
		if n < 2 || n > 8 {
			t.Fatalf("instance %d calls %d endpoints, want 2 to 8", i, n)
		}
	}
	for id, got := range reached {
		want := total * []float64{3, 0.5}[id%2] / 35
		if got < 0.95*want || got > 1.05*want {
			t.Errorf("endpoint %d is reached with weight %.2f, want %.2f", id, got, want)
		}
	}
}

// When many endpoints drain at the same time, their load must be spread over all others. If it went to the
// few endpoints after them on the ring, these would get four times the mean.
func TestLoadOfDrainingEndpointsIsSpreadOverAll(t *testing.T) {
	s := settings()
	s.Instances = 80
	reached := map[EndpointID]float64{}
	for i := range s.Instances {
		s.Ordinal = i
		h := start(t, s, 20)
		for id := EndpointID(5); id <= 14; id++ {
			h.updateEntry(Entry{Endpoint: id, State: Draining, Weight: 1})
		}
		h.b.updateSubset()
		for _, e := range h.b.listed {
			reached[e.id] += e.subsetWeight
		}
	}
	for id, got := range reached {
		want := 16.0
		if id >= 5 && id <= 14 {
			want = 0
		}
		if got < want-0.01 || got > want+0.01 {
			t.Errorf("endpoint %d is reached with weight %.2f, want %.0f", id, got, want)
		}
	}
}

// An instance with more calls in flight than others calls more endpoints for that time, but no more than it
// needs. Instances with consecutive ordinals are far apart on the ring.
func TestSubsetGrowsWithCallsInFlight(t *testing.T) {
	s := settings()
	s.Instances, s.Ordinal = 100, 5
	h, answered := start(t, s, 100), 0
	subsetSize := func(concurrent int) (endpoints int) {
		for range 400 {
			for range concurrent {
				h.request(read)
			}
			h.advance(100 * ms)
			for sends := len(h.sent); answered < sends; answered++ {
				h.reportOutcome(h.sent[answered], OK, 100*ms)
			}
		}
		for _, e := range h.b.listed {
			if e.subsetWeight > 0 {
				endpoints++
			}
		}
		return endpoints
	}
	before, during, after := subsetSize(1), subsetSize(8), subsetSize(1)
	if before > 4 || during < 12 || during > 40 || after > 4 {
		t.Errorf("%d endpoints before, %d during and %d after the high load", before, during, after)
	}
	for _, n := range []int{1, 2, 3, 7, 10, 50, 300, 1000} {
		positions := map[int]bool{}
		for i := range n {
			positions[ringPosition(i, n)] = true
			distance := (ringPosition(i+1, n) - ringPosition(i, n) + n) % n
			if n >= 10 && (distance < n/4 || distance > 3*n/4) {
				t.Errorf("the positions of instances %d and %d of %d have distance %d", i, i+1, n, distance)
			}
		}
		if len(positions) != n {
			t.Errorf("%d instances have %d positions", n, len(positions))
		}
	}
}

// An instance of a large fleet has few calls of its own, and all instances react to the same events.
func TestInstanceOfLargeFleet(t *testing.T) {
	largeFleet := func() Settings {
		s := settings()
		s.Instances, s.Ordinal = 300, 7
		return s
	}
	t.Run("one call in ten seconds", func(t *testing.T) {
		// It neither keeps calling a dead endpoint nor avoids a healthy one for long after one error.
		h := start(t, largeFleet(), 300)
		h.serve(1, nil)
		dead, healthy := h.b.subset[0].id, h.b.subset[1].id
		callsToDead, errors, callsAfterError := 0, 0, 0
		for range 60 {
			next := len(h.sent)
			h.request(read)
			for ; next < len(h.sent); next++ {
				switch call := h.sent[next]; {
				case call.to == dead:
					callsToDead++
					h.reportOutcome(call, ConnectFailed, ms)
				case call.to == healthy && errors == 0:
					errors++
					h.reportOutcome(call, Error, 20*ms)
				default:
					if call.to == healthy {
						callsAfterError++
					}
					h.reportOutcome(call, OK, 20*ms)
				}
			}
			h.advance(10 * time.Second)
		}
		if len(h.fails) > 0 || len(h.refusals) > 0 || callsAfterError < 10 {
			t.Errorf("%d failed, %d refused, %d calls to the endpoint after its error, want 0, 0 and at least 10",
				len(h.fails), len(h.refusals), callsAfterError)
		}
		if callsToDead > 20 {
			t.Errorf("%d calls to a dead endpoint in ten minutes, want at most 20", callsToDead)
		}
	})
	t.Run("full connection table", func(t *testing.T) {
		// An instance without a connection to the endpoint does not try again and again, and uses other endpoints.
		h := start(t, largeFleet(), 300)
		h.serve(1, nil)
		full, connects := h.b.subset[0].id, 0
		for range 3000 {
			next := len(h.sent)
			h.request(read)
			h.advance(20 * ms)
			for ; next < len(h.sent); next++ {
				call := h.sent[next]
				if call.to == full {
					connects++
					h.reportOutcome(call, ConnectFailed, ms)
				} else {
					h.reportOutcome(call, OK, 20*ms)
				}
			}
		}
		if connects > 30 || len(h.fails)+len(h.refusals) > 0 {
			t.Errorf("%d attempts to connect in a minute, %d failed, %d refused, want at most 30, 0 and 0",
				connects, len(h.fails), len(h.refusals))
		}
	})
	t.Run("all endpoints replaced under new ids", func(t *testing.T) {
		// Two thousand endpoints are replaced within a minute, fifty per list. The number of remembered
		// endpoints is bounded, and nearly all requests are served.
		h := start(t, largeFleet(), 2000)
		version, answered := uint64(1), 0
		for i := 0; i < 2000; i += 50 {
			l := List{Kind: DeltaList, Version: version + 1}
			version++
			for k := i + 1; k <= i+50; k++ {
				l.Entries = append(l.Entries, Entry{Endpoint: EndpointID(k), State: Departed, Weight: 1},
					Entry{Endpoint: EndpointID(10000 + k), Started: h.now, Weight: 1})
			}
			h.b.Targets(h.now, l)
			for range 10 {
				h.request(read)
				h.advance(150 * ms)
				for ; answered < len(h.sent); answered++ {
					h.reportOutcome(h.sent[answered], OK, 20*ms)
				}
			}
		}
		if n := len(h.b.byID); n > 4000+maxDepartedEndpoints || len(h.b.listed) != 2000 || len(h.b.requests) > 0 {
			t.Errorf("%d endpoints remembered, %d listed, %d requests left", n, len(h.b.listed), len(h.b.requests))
		}
		if n := len(h.refusals) + len(h.fails); n > 4 {
			t.Errorf("%d of 400 requests not served, want at most 4", n)
		}
		h.now += h.b.settings.WarmUp
		h.b.Targets(h.now, List{Kind: DeltaList, Version: version + 1})
		if n := len(h.b.byID); n != 2000 {
			t.Errorf("%d endpoints remembered after the warm-up time of the departed ones, want 2000", n)
		}
	})
	t.Run("all instances get the same list", func(t *testing.T) {
		// All instances learn of a new endpoint in the same tick. Directly afterwards, their calls together
		// must not overload it while it is cold.
		coldCalls, calls := 0, 0
		for i := range 300 {
			s := largeFleet()
			s.Ordinal = i
			h := start(t, s, 300)
			h.serve(4, nil)
			h.updateEntry(Entry{Endpoint: 17, Started: h.now, Weight: 1})
			before := len(h.sent)
			for range 4 {
				h.request(read)
			}
			for _, call := range h.sent[before:] {
				if calls++; call.to == 17 {
					coldCalls++
				}
			}
		}
		if evenShare := calls / 300; coldCalls > 3*evenShare {
			t.Errorf("%d of %d calls to the cold endpoint, want at most three even shares of %d",
				coldCalls, calls, evenShare)
		}
	})
}
