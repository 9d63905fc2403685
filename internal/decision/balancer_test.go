package decision

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestNewNamesInvalidSetting(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
		"classes":           func(s *Settings) { s.Classes = nil },
		"classes[0].effect": func(s *Settings) { s.Classes[0].Effect = "maybe" },
		"classes[2].scope":  func(s *Settings) { s.Classes[2].Scope = "planet" },
		"classes[1].aim":    func(s *Settings) { s.Classes[1].LatencyTarget = -1 },
		"cold":              func(s *Settings) { s.WarmUp = -1 },
		"coldFrom":          func(s *Settings) { s.ColdCapacity = 2 },
		"instances":         func(s *Settings) { s.Instances = 0 },
		"fall":              func(s *Settings) { s.OverloadWindow = -1 },
		"askEvery":          func(s *Settings) { s.DiscoveryInterval = -1 },
		"connectTimeout":    func(s *Settings) { s.ConnectTimeout = -1 },
		"classes[0].window": func(s *Settings) { s.Classes[0].Window = -1 },
		"tenants[0].quota":  func(s *Settings) { s.Tenants = []Tenant{{QuotaPerS: -1}} },
		"ordinal":           func(s *Settings) { s.Ordinal = -1 },
		"tipMultiple":       func(s *Settings) { s.OverloadMultiple = -1 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1, &recordingHost{}); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v does not name it", key, err)
		}
	}
}

func TestUnexpectedEventsAreIgnored(t *testing.T) {
	h := start(t, settings(), 2)
	h.b.Outcome(h.now, Outcome{ID: "unknown", Status: OK})
	h.b.Abandoned(h.now, "unknown")
	h.b.ResponseStarted(h.now, "unknown", 0, 1)
	h.b.Timer(h.now, 99)
	h.request(read)
	s := h.last()
	h.updateEntry(Entry{Endpoint: s.to, State: Departed})
	h.b.Targets(h.now, List{Kind: FullList, Version: 3})
	h.reportOutcome(s, Reset, ms)
	h.reportOutcome(s, OK, ms)
	h.advance(2 * time.Second)
	if len(h.refusals) != 1 {
		t.Errorf("refused %v, want the one request that lost its endpoint and has no other", h.refusals)
	}
}

// The rules that bind one instance hold under random but legal events.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := settings()
		s.MayCancel = seed%2 == 0
		s.Classes[book].Scope = []Scope{ScopeCell, ScopeZone, ScopeAll}[seed%3]
		h := start(t, s, 8)
		type state struct {
			class, out, answers int
			deadline            time.Duration
			mayRun              *sentCall
			runAt               time.Duration
		}
		reqs := map[RequestID]*state{}
		told := map[EndpointID]bool{}
		at := struct{ sent, fails, refusals int }{}
		sentAt := map[sentCall]time.Duration{}
		var open []sentCall
		check := func() {
			for ; at.sent < len(h.sent); at.sent++ {
				x := h.sent[at.sent]
				r := reqs[x.id]
				r.out++
				sentAt[x] = h.now
				open = append(open, x)
				switch {
				case r.answers > 0:
					t.Fatalf("seed %d: %v sent after its final answer", seed, x)
				case r.out > 1:
					t.Fatalf("seed %d: %v: two attempts out at once", seed, x)
				case told[x.to]:
					t.Fatalf("seed %d: %v sent to an endpoint that drains or is gone", seed, x)
				case r.mayRun != nil && r.class == pay:
					t.Fatalf("seed %d: %v: unsafe, may have run, sent again", seed, x)
				case r.mayRun != nil && r.class == book && s.Classes[book].Scope == ScopeCell && (x.to-1)/2 != (r.mayRun.to-1)/2:
					t.Fatalf("seed %d: %v: keyed, left its cell", seed, x)
				case r.mayRun != nil && r.class == book && h.now-r.runAt > s.Classes[book].Window:
					t.Fatalf("seed %d: %v: keyed, past its window", seed, x)
				}
			}
			for ; at.fails < len(h.fails); at.fails++ {
				reqs[h.fails[at.fails]].answers++
			}
			for ; at.refusals < len(h.refusals); at.refusals++ {
				r := reqs[h.refusals[at.refusals]]
				r.answers++
				if r.mayRun != nil && (r.class == pay || r.class == book && s.Classes[book].Scope != ScopeAll) {
					t.Fatalf("seed %d: %s refused though it may have run", seed, h.refusals[at.refusals])
				}
			}
		}
		for range 3000 {
			switch rng.IntN(6) {
			case 0, 1:
				h.n++
				id, class := RequestID(fmt.Sprint("q", h.n)), rng.IntN(3)
				left := time.Duration(1+rng.IntN(1500)) * ms
				reqs[id] = &state{class: class, deadline: h.now + left}
				h.b.Request(h.now, Request{ID: id, Class: class, Remaining: left})
			case 2, 3:
				if len(open) > 0 {
					i := rng.IntN(len(open))
					x := open[i]
					open = slices.Delete(open, i, i+1)
					r := reqs[x.id]
					r.out--
					status := []Status{OK, OK, OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset}[rng.IntN(10)]
					if !status.NeverRan() && status != OK && r.mayRun == nil {
						r.mayRun, r.runAt = &x, sentAt[x]
					}
					final := r.answers > 0 || status == OK
					if status == OK {
						r.answers++
					}
					h.b.Outcome(h.now, Outcome{
						ID: x.id, Endpoint: x.to, Attempt: x.attempt, Final: final, Status: status,
						Elapsed: h.now - sentAt[x],
					})
				}
			case 4:
				id := EndpointID(1 + rng.IntN(8))
				st := State(rng.IntN(3))
				told[id] = st != Ready
				h.updateEntry(Entry{Endpoint: id, Cell: int(id-1) / 2, State: st, Started: time.Duration(rng.IntN(2)) * h.now})
			}
			check()
			h.advance(time.Duration(rng.IntN(3)) * 10 * ms)
			check()
			// What is out at its deadline times out there, as the host trims it.
			for i := 0; i < len(open); i++ {
				x := open[i]
				if r := reqs[x.id]; h.now >= r.deadline {
					open = slices.Delete(open, i, i+1)
					i--
					r.out--
					if r.mayRun == nil {
						r.mayRun, r.runAt = &x, sentAt[x]
					}
					h.b.Outcome(h.now, Outcome{ID: x.id, Endpoint: x.to, Attempt: x.attempt, Final: r.answers > 0, Status: Timeout})
					check()
				}
			}
			for id, r := range reqs {
				if r.answers > 1 || r.answers == 0 && h.now > r.deadline+20*ms {
					t.Fatalf("seed %d: %s has %d final answers past its deadline", seed, id, r.answers)
				}
				if r.answers > 0 && r.out == 0 {
					delete(reqs, id)
				}
			}
		}
	}
}

// The same events and seed must give the same actions.
func TestSameSeedAndEventsGiveSameActions(t *testing.T) {
	run := func() []sentCall {
		h := start(t, settings(), 9)
		h.serve(300, func(to EndpointID) Status {
			if to == 4 {
				return Reset
			}
			return OK
		})
		return h.sent
	}
	if !slices.Equal(run(), run()) {
		t.Error("two runs of the same events differ")
	}
}

func TestEveryRequestIsAnsweredBeforeItsDeadline(t *testing.T) {
	h := start(t, settings(), 0)
	id := h.request(read)
	h.advance(1500 * ms)
	if !slices.Equal(h.refusals, []RequestID{id}) {
		t.Errorf("refused %v, want %s: there is no endpoint", h.refusals, id)
	}
	h = start(t, settings(), 2)
	h.b.Request(h.now, Request{ID: "late", Remaining: 0})
	if len(h.refusals) != 1 || len(h.sent) > 0 {
		t.Errorf("refused %v, sent %v for a request with no time left", h.refusals, h.sent)
	}
}
