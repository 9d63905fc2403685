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
	for key, invalidate := range map[string]func(*Settings){
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
		invalidate(&s)
		if _, err := New(s, 1, &recordingHost{}); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v does not name the setting", key, err)
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
		t.Errorf("refused %v, want the one request whose endpoint left the list", h.refusals)
	}
}

// The invariants of the package documentation hold under random but legal events.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := settings()
		s.MayCancel = seed%2 == 0
		s.Classes[book].Scope = []Scope{ScopeCell, ScopeZone, ScopeAll}[seed%3]
		h := start(t, s, 8)
		type state struct {
			class, inFlight, answers int
			deadline                 time.Duration
			firstRun                 *sentCall // first attempt that may have run
			firstRunAt               time.Duration
		}
		requests := map[RequestID]*state{}
		unready := map[EndpointID]bool{} // endpoints that drain or have departed
		checked := struct{ sent, fails, refusals int }{}
		sentAt := map[sentCall]time.Duration{}
		var open []sentCall
		check := func() {
			for ; checked.sent < len(h.sent); checked.sent++ {
				call := h.sent[checked.sent]
				r := requests[call.id]
				r.inFlight++
				sentAt[call] = h.now
				open = append(open, call)
				switch {
				case r.answers > 0:
					t.Fatalf("seed %d: %v sent after its final answer", seed, call)
				case r.inFlight > 1:
					t.Fatalf("seed %d: %v: two attempts in flight", seed, call)
				case unready[call.to]:
					t.Fatalf("seed %d: %v sent to an endpoint that drains or has departed", seed, call)
				case r.firstRun != nil && r.class == pay:
					t.Fatalf("seed %d: %v: unsafe call that may have run was sent again", seed, call)
				case r.firstRun != nil && r.class == book && s.Classes[book].Scope == ScopeCell &&
					(call.to-1)/2 != (r.firstRun.to-1)/2:
					t.Fatalf("seed %d: %v: keyed call was sent again outside of its cell", seed, call)
				case r.firstRun != nil && r.class == book && h.now-r.firstRunAt > s.Classes[book].Window:
					t.Fatalf("seed %d: %v: keyed call was sent again after its window", seed, call)
				}
			}
			for ; checked.fails < len(h.fails); checked.fails++ {
				requests[h.fails[checked.fails]].answers++
			}
			for ; checked.refusals < len(h.refusals); checked.refusals++ {
				r := requests[h.refusals[checked.refusals]]
				r.answers++
				if r.firstRun != nil && (r.class == pay || r.class == book && s.Classes[book].Scope != ScopeAll) {
					t.Fatalf("seed %d: %s was refused although it may have run", seed, h.refusals[checked.refusals])
				}
			}
		}
		for range 3000 {
			switch rng.IntN(6) {
			case 0, 1:
				h.n++
				id, class := RequestID(fmt.Sprint("q", h.n)), rng.IntN(3)
				remaining := time.Duration(1+rng.IntN(1500)) * ms
				requests[id] = &state{class: class, deadline: h.now + remaining}
				h.b.Request(h.now, Request{ID: id, Class: class, Remaining: remaining})
			case 2, 3:
				if len(open) > 0 {
					i := rng.IntN(len(open))
					call := open[i]
					open = slices.Delete(open, i, i+1)
					r := requests[call.id]
					r.inFlight--
					status := []Status{OK, OK, OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset}[rng.IntN(10)]
					if !status.NeverRan() && status != OK && r.firstRun == nil {
						r.firstRun, r.firstRunAt = &call, sentAt[call]
					}
					final := r.answers > 0 || status == OK
					if status == OK {
						r.answers++
					}
					h.b.Outcome(h.now, Outcome{
						ID: call.id, Endpoint: call.to, Attempt: call.attempt, Final: final, Status: status,
						Elapsed: h.now - sentAt[call],
					})
				}
			case 4:
				id := EndpointID(1 + rng.IntN(8))
				listed := State(rng.IntN(3))
				unready[id] = listed != Ready
				started := time.Duration(rng.IntN(2)) * h.now
				h.updateEntry(Entry{Endpoint: id, Cell: int(id-1) / 2, State: listed, Started: started})
			}
			check()
			h.advance(time.Duration(rng.IntN(3)) * 10 * ms)
			check()
			// A call that is in flight at its deadline times out then, as the host bounds it.
			for i := 0; i < len(open); i++ {
				call := open[i]
				if r := requests[call.id]; h.now >= r.deadline {
					open = slices.Delete(open, i, i+1)
					i--
					r.inFlight--
					if r.firstRun == nil {
						r.firstRun, r.firstRunAt = &call, sentAt[call]
					}
					h.b.Outcome(h.now, Outcome{
						ID: call.id, Endpoint: call.to, Attempt: call.attempt, Final: r.answers > 0, Status: Timeout,
					})
					check()
				}
			}
			for id, r := range requests {
				if r.answers > 1 || r.answers == 0 && h.now > r.deadline+20*ms {
					t.Fatalf("seed %d: %s has %d final answers, want one by its deadline", seed, id, r.answers)
				}
				if r.answers > 0 && r.inFlight == 0 {
					delete(requests, id)
				}
			}
		}
	}
}

// The same events and seed produce the same actions.
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
		t.Error("two runs with the same seed and events sent different calls")
	}
}

func TestEveryRequestIsAnsweredBeforeItsDeadline(t *testing.T) {
	h := start(t, settings(), 0)
	id := h.request(read)
	h.advance(1500 * ms)
	if !slices.Equal(h.refusals, []RequestID{id}) {
		t.Errorf("refused %v, want %s, as there is no endpoint", h.refusals, id)
	}
	h = start(t, settings(), 2)
	h.b.Request(h.now, Request{ID: "late", Remaining: 0})
	if len(h.refusals) != 1 || len(h.sent) > 0 {
		t.Errorf("refused %v, sent %v for a request without remaining time", h.refusals, h.sent)
	}
}
