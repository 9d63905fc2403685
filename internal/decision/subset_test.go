package decision

import (
	"testing"
	"time"
)

// Many instances that each call every endpoint would fill the endpoints' connection tables.
func TestManyInstancesCallSubsets(t *testing.T) {
	s := settings()
	s.Instances = 30
	covered := map[EndpointID]int{}
	for i := range 30 {
		s.Ordinal = i
		h := start(t, s, 20)
		got := h.serve(100, nil)
		if len(got) != 2 {
			t.Fatalf("instance %d calls %d endpoints, want 2", i, len(got))
		}
		for id := range got {
			covered[id]++
		}
	}
	for id := EndpointID(1); id <= 20; id++ {
		if covered[id] != 3 {
			t.Errorf("endpoint %d is called by %d instances, want 3", id, covered[id])
		}
	}
}

// Where instances outnumber endpoints, each had one endpoint whatever its size, and small machines got as
// much as large ones. Together the subsets must reach each endpoint by its weight.
func TestSmallSubsetsReachEndpointsByWeight(t *testing.T) {
	s := settings()
	s.Instances = 120
	parts, total := map[EndpointID]float64{}, 0.0
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
			parts[e.id] += e.subsetWeight
			total += e.subsetWeight
			if e.subsetWeight > 0 {
				n++
			}
		}
		if n < 2 || n > 8 {
			t.Fatalf("instance %d calls %d endpoints, want a few", i, n)
		}
	}
	for id, got := range parts {
		want := total * []float64{3, 0.5}[id%2] / 35
		if got < 0.95*want || got > 1.05*want {
			t.Errorf("endpoint %d is reached by %.2f, want %.2f", id, got, want)
		}
	}
}

// When many endpoints left at once, their part fell to the few after them on the ring, which got four times
// the mean.
func TestLoadOfDrainingEndpointsIsSpreadOverAll(t *testing.T) {
	s := settings()
	s.Instances = 80
	parts := map[EndpointID]float64{}
	for i := range s.Instances {
		s.Ordinal = i
		h := start(t, s, 20)
		for id := EndpointID(5); id <= 14; id++ {
			h.updateEntry(Entry{Endpoint: id, State: Draining, Weight: 1})
		}
		h.b.updateSubset()
		for _, e := range h.b.listed {
			parts[e.id] += e.subsetWeight
		}
	}
	for id, got := range parts {
		want := 16.0
		if id >= 5 && id <= 14 {
			want = 0
		}
		if got < want-0.01 || got > want+0.01 {
			t.Errorf("endpoint %d is reached by %.2f instances' parts, want %.0f", id, got, want)
		}
	}
}

// An instance with ten times as many calls as others calls more endpoints for that time, and no more than
// it needs; instances with consecutive ordinals are far apart on the ring.
func TestSubsetGrowsWithCallsInFlight(t *testing.T) {
	s := settings()
	s.Instances, s.Ordinal = 100, 5
	h, answered := start(t, s, 100), 0
	calls := func(n int) (parts int) {
		for range 400 {
			for range n {
				h.request(read)
			}
			h.advance(100 * ms)
			for out := len(h.sent); answered < out; answered++ {
				h.reportOutcome(h.sent[answered], OK, 100*ms)
			}
		}
		for _, e := range h.b.listed {
			if e.subsetWeight > 0 {
				parts++
			}
		}
		return parts
	}
	if few, many, few2 := calls(1), calls(8), calls(1); few > 4 || many < 12 || many > 40 || few2 > 4 {
		t.Errorf("%d endpoints at little traffic, %d at much, %d after that", few, many, few2)
	}
	for _, n := range []int{1, 2, 3, 7, 10, 50, 300, 1000} {
		seats := map[int]bool{}
		for i := range n {
			seats[ringPosition(i, n)] = true
			if apart := (ringPosition(i+1, n) - ringPosition(i, n) + n) % n; n >= 10 && (apart < n/4 || apart > 3*n/4) {
				t.Errorf("%d and %d of %d lie %d apart", i, i+1, n, apart)
			}
		}
		if len(seats) != n {
			t.Errorf("%d instances have %d seats", n, len(seats))
		}
	}
}

// An instance of a large fleet sees little itself, and whatever it does all others do too.
func TestInstanceOfLargeFleet(t *testing.T) {
	small := func() Settings {
		s := settings()
		s.Instances, s.Ordinal = 300, 7
		return s
	}
	t.Run("one call in ten seconds", func(t *testing.T) {
		// It neither keeps calling a dead endpoint nor shuns a good one for long after one bad answer.
		h := start(t, small(), 300)
		h.serve(1, nil)
		dead, spoilt := h.b.subset[0].id, h.b.subset[1].id
		knocks, errors, after := 0, 0, 0
		for range 60 {
			at := len(h.sent)
			h.request(read)
			for ; at < len(h.sent); at++ {
				switch x := h.sent[at]; {
				case x.to == dead:
					knocks++
					h.reportOutcome(x, ConnectFailed, ms)
				case x.to == spoilt && errors == 0:
					errors++
					h.reportOutcome(x, Error, 20*ms)
				default:
					if x.to == spoilt {
						after++
					}
					h.reportOutcome(x, OK, 20*ms)
				}
			}
			h.advance(10 * time.Second)
		}
		if len(h.fails) > 0 || len(h.refusals) > 0 || after < 10 {
			t.Errorf("%d failed, %d refused, %d calls to the server of one bad answer", len(h.fails), len(h.refusals), after)
		}
		if knocks > 20 {
			t.Errorf("%d calls to a dead server in ten minutes", knocks)
		}
	})
	t.Run("a connection table that is full", func(t *testing.T) {
		// An instance that has no connection there doesn't knock all day, and serves its callers elsewhere.
		h := start(t, small(), 300)
		h.serve(1, nil)
		full, knocks := h.b.subset[0].id, 0
		for range 3000 {
			at := len(h.sent)
			h.request(read)
			h.advance(20 * ms)
			for ; at < len(h.sent); at++ {
				x := h.sent[at]
				if x.to == full {
					knocks++
					h.reportOutcome(x, ConnectFailed, ms)
				} else {
					h.reportOutcome(x, OK, 20*ms)
				}
			}
		}
		if knocks > 30 || len(h.fails)+len(h.refusals) > 0 {
			t.Errorf("%d attempts to connect in a minute, %d failed, %d refused", knocks, len(h.fails), len(h.refusals))
		}
	})
	t.Run("all servers under new ids", func(t *testing.T) {
		// Two thousand within a minute, in lists of fifty: what is remembered is bounded, and all that is asked is served.
		h := start(t, small(), 2000)
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
			t.Errorf("%d servers remembered, %d listed, %d requests left", n, len(h.b.listed), len(h.b.requests))
		}
		if n := len(h.refusals) + len(h.fails); n > 4 {
			t.Errorf("%d of 400 not served", n)
		}
		h.now += h.b.settings.WarmUp
		h.b.Targets(h.now, List{Kind: DeltaList, Version: version + 1})
		if n := len(h.b.byID); n != 2000 {
			t.Errorf("%d servers remembered once those that left would be warm, want 2000", n)
		}
	})
	t.Run("all hear the same list", func(t *testing.T) {
		// An endpoint that starts gets no more from all instances together than a cold one bears, in the first second after a list
		// that all have in the same tick: here a request from each, at once.
		cold, total := 0, 0
		for i := range 300 {
			s := small()
			s.Ordinal = i
			h := start(t, s, 300)
			h.serve(4, nil)
			h.updateEntry(Entry{Endpoint: 17, Started: h.now, Weight: 1})
			at := len(h.sent)
			for range 4 {
				h.request(read)
			}
			for _, x := range h.sent[at:] {
				if total++; x.to == 17 {
					cold++
				}
			}
		}
		if even := total / 300; cold > 3*even {
			t.Errorf("%d of %d calls to the cold server, an even part is %d", cold, total, even)
		}
	})
}
