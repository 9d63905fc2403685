package decision

import (
	"encoding/json"
	"testing"
	"time"
)

// What a broker of a large fleet has to bear: it sees little itself, and what it does all others do too.
func TestInstanceOfLargeFleet(t *testing.T) {
	small := func() Settings {
		s := settings()
		s.Instances, s.Ordinal = 300, 7
		return s
	}
	t.Run("one call in ten seconds", func(t *testing.T) {
		// It neither keeps calling a dead server nor shuns a good one for long after one bad answer.
		d := start(t, small(), 300)
		d.serve(1, nil)
		dead, spoilt := d.b.subset[0].id, d.b.subset[1].id
		knocks, errors, after := 0, 0, 0
		for range 60 {
			at := len(d.sent)
			d.request(read)
			for ; at < len(d.sent); at++ {
				switch x := d.sent[at]; {
				case x.to == dead:
					knocks++
					d.finish(x, ConnectFailed, ms)
				case x.to == spoilt && errors == 0:
					errors++
					d.finish(x, Error, 20*ms)
				default:
					if x.to == spoilt {
						after++
					}
					d.finish(x, OK, 20*ms)
				}
			}
			d.advance(10 * time.Second)
		}
		if len(d.fails) > 0 || len(d.refusals) > 0 || after < 10 {
			t.Errorf("%d failed, %d refused, %d calls to the server of one bad answer", len(d.fails), len(d.refusals), after)
		}
		if knocks > 20 {
			t.Errorf("%d calls to a dead server in ten minutes", knocks)
		}
	})
	t.Run("a connection table that is full", func(t *testing.T) {
		// A broker that has no connection there doesn't knock all day, and serves its callers elsewhere.
		d := start(t, small(), 300)
		d.serve(1, nil)
		full, knocks := d.b.subset[0].id, 0
		for range 3000 {
			at := len(d.sent)
			d.request(read)
			d.advance(20 * ms)
			for ; at < len(d.sent); at++ {
				x := d.sent[at]
				if x.to == full {
					knocks++
					d.finish(x, ConnectFailed, ms)
				} else {
					d.finish(x, OK, 20*ms)
				}
			}
		}
		if knocks > 30 || len(d.fails)+len(d.refusals) > 0 {
			t.Errorf("%d attempts to connect in a minute, %d failed, %d refused", knocks, len(d.fails), len(d.refusals))
		}
	})
	t.Run("all servers under new ids", func(t *testing.T) {
		// Two thousand within a minute, in lists of fifty: what is remembered is bounded, and all that is asked is served.
		d := start(t, small(), 2000)
		version, answered := uint64(1), 0
		for i := 0; i < 2000; i += 50 {
			l := List{Kind: DeltaList, Version: version + 1}
			version++
			for k := i + 1; k <= i+50; k++ {
				l.Entries = append(l.Entries, Entry{Endpoint: EndpointID(k), State: Departed, Weight: 1},
					Entry{Endpoint: EndpointID(10000 + k), Started: d.now, Weight: 1})
			}
			d.b.Targets(d.now, l)
			for range 10 {
				d.request(read)
				d.advance(150 * ms)
				for ; answered < len(d.sent); answered++ {
					d.finish(d.sent[answered], OK, 20*ms)
				}
			}
		}
		if n := len(d.b.byID); n > 4000+maxDepartedEndpoints || len(d.b.listed) != 2000 || len(d.b.requests) > 0 {
			t.Errorf("%d servers remembered, %d listed, %d requests left", n, len(d.b.listed), len(d.b.requests))
		}
		if n := len(d.refusals) + len(d.fails); n > 4 {
			t.Errorf("%d of 400 not served", n)
		}
		d.now += d.b.settings.WarmUp
		d.b.Targets(d.now, List{Kind: DeltaList, Version: version + 1})
		if n := len(d.b.byID); n != 2000 {
			t.Errorf("%d servers remembered once those that left would be warm, want 2000", n)
		}
	})
	t.Run("all hear the same list", func(t *testing.T) {
		// A server that starts gets no more from all brokers together than a cold one bears, in the first second after a list
		// that all have in the same tick: here a request from each, at once.
		cold, total := 0, 0
		for i := range 300 {
			s := small()
			s.Ordinal = i
			d := start(t, s, 300)
			d.serve(4, nil)
			d.list(Entry{Endpoint: 17, Started: d.now, Weight: 1})
			at := len(d.sent)
			for range 4 {
				d.request(read)
			}
			for _, x := range d.sent[at:] {
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

// What capacity looked like before says nothing of now: each row is refused or held back for good without its cause.
func TestShortageEndsWithItsCause(t *testing.T) {
	s := settings()
	s.ClientsMarkRetries = true
	s.Tenants = []Tenant{{Name: "a", QuotaPerS: 100}}
	slow := func(d *harness) { // calls that take three times what is usual
		d.serve(100, nil)
		for range 200 {
			d.request(read)
			d.advance(60 * ms)
			d.finish(d.last(), OK, 400*ms)
		}
	}
	t.Run("a repeat after a silence", func(t *testing.T) {
		d := start(t, s, 20)
		slow(d)
		if d.b.latencyPressure <= 1 {
			t.Fatalf("strain %.2f: nothing is tested", d.b.latencyPressure)
		}
		d.advance(10 * time.Second)
		at := len(d.sent)
		d.b.Request(d.now, Request{ID: "again", Remaining: 1500 * ms, IsRetry: true})
		if len(d.sent) == at {
			t.Error("refused beside idle servers, for calls that were slow ten seconds ago")
		}
	})
	t.Run("a pace as servers come", func(t *testing.T) {
		s := s
		s.Instances = 30
		d := start(t, s, 20)
		slow(d)
		if !d.b.isPaced {
			t.Fatal("not paced: nothing is tested")
		}
		l := List{Kind: DeltaList, Version: 2}
		for id := EndpointID(21); id <= 40; id++ {
			l.Entries = append(l.Entries, Entry{Endpoint: id, Weight: 1})
		}
		d.b.Targets(d.now, l)
		d.advance(2 * time.Second)
		d.serve(20, nil)
		if d.b.isPaced {
			t.Error("calls are paced for good once there are more endpoints than instances")
		}
	})
	t.Run("no shares at all", func(t *testing.T) {
		s := s
		s.Tenants = []Tenant{{Name: "a"}, {Name: "b"}}
		d := start(t, s, 20)
		d.serve(100, nil)
		if _, err := json.Marshal(d.b.Snapshot(d.now)); err != nil {
			t.Error("what is learnt cannot be told to a successor:", err)
		}
		if len(d.refusals) > 0 {
			t.Errorf("%d of 100 refused beside idle servers", len(d.refusals))
		}
		if id := d.request(read); !d.b.requests[id].overQuota {
			t.Error("within a share of nothing")
		}
	})
}
