package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// observed returns an observation of a member whose process started at start.
func observed(id string, incarnation uint32, state State) Observation {
	return Observation{ID: id, Addr: "127.0.0.1:1", Incarnation: incarnation, State: state, Meta: Meta{Started: start, Weight: 1}}
}

// Each transition of a member's state has a reason. An observation that is stale or brings nothing new is ignored.
func TestObservationIsAChangeWithItsReasonOrIsIgnored(t *testing.T) {
	later := observed("b", 1, Alive)
	later.Meta.Started = start.Add(time.Minute)
	cases := []struct {
		name  string
		steps []Observation
		want  Reason // the reason of the last step's change; "" if that step is ignored
	}{
		{"join", []Observation{observed("b", 1, Alive)}, Joined},
		{"failed probes", []Observation{observed("b", 1, Alive), observed("b", 1, Suspect)}, ProbesFailed},
		{"refuted suspicion", []Observation{observed("b", 1, Alive), observed("b", 1, Suspect), observed("b", 2, Alive)}, Refuted},
		{"unobserved suspicion refuted", []Observation{observed("b", 1, Alive), observed("b", 2, Alive)}, Refuted},
		{"expired suspicion", []Observation{observed("b", 1, Suspect), observed("b", 1, Dead)}, SuspicionExpired},
		{"announced departure", []Observation{observed("b", 1, Alive), observed("b", 1, Left)}, LeaveAnnounced},
		{"return of a dead member", []Observation{observed("b", 1, Alive), observed("b", 1, Dead), observed("b", 2, Alive)}, Returned},
		{"restart with the same ID", []Observation{observed("b", 5, Alive), later}, Restarted},
		{"lower incarnation", []Observation{observed("b", 3, Alive), observed("b", 3, Suspect), observed("b", 2, Alive)}, ""},
		{"suspicion of a dead member", []Observation{observed("b", 1, Alive), observed("b", 1, Dead), observed("b", 1, Suspect)}, ""},
		{"repeated observation", []Observation{observed("b", 1, Alive), observed("b", 1, Alive)}, ""},
		{"death of an unknown member", []Observation{observed("b", 1, Dead)}, ""},
	}
	for _, tc := range cases {
		v := New(observed("a", 1, Alive), Limits{MaxMembers: 8, Retention: time.Minute}, start)
		var last Change
		var changed bool
		for i, o := range tc.steps {
			last, changed = v.Observe(o, start.Add(time.Duration(i)*time.Second))
		}
		got := Reason("")
		if changed {
			got = last.Reason
		}
		if got != tc.want {
			t.Errorf("%s: reason %q, want %q", tc.name, got, tc.want)
		}
	}
}

// Checks the invariants for random sequences of observations: the view holds at most MaxMembers, never accepts a lower
// incarnation of the same process, counts each change once, and removes departed members after the retention but never
// the broker itself. Two views that received the same last observation of each member have the same digest.
func TestInvariantsHoldForAnyOrderOfObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxMembers: rapid.IntRange(1, 6).Draw(t, "max members"), Retention: 10 * time.Second}
		v := New(observed("self", 1, Alive), limits, start)
		held := map[string]uint32{}
		now := start
		for step := range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			o := observed(fmt.Sprint("m", rapid.IntRange(0, 8).Draw(t, "id")), uint32(rapid.IntRange(0, 4).Draw(t, "incarnation")),
				State(rapid.IntRange(0, 3).Draw(t, "state")))
			before := v.Number()
			c, changed := v.Observe(o, now)
			if changed != (v.Number() == before+1) || (changed && c.ViewNumber != v.Number()) {
				t.Fatalf("step %d: changed is %v, but the view number went from %d to %d", step, changed, before, v.Number())
			}
			if inc, ok := held[o.ID]; ok && changed && o.Incarnation < inc {
				t.Fatalf("step %d: accepted incarnation %d after %d", step, o.Incarnation, inc)
			}
			for _, f := range v.Expire(now) {
				if f.Member.ID == "self" || now.Sub(f.Member.Since) < limits.Retention {
					t.Fatalf("step %d: removed %v before its retention ended", step, f.Member)
				}
			}
			clear(held)
			for _, m := range v.Members() {
				held[m.ID] = m.Incarnation
			}
			if len(held) > limits.MaxMembers || held["self"] != 1 {
				t.Fatalf("step %d: view holds %v, want at most %d members and the broker itself", step, held, limits.MaxMembers)
			}
		}
		// A second view receives only the last observation of each member.
		w := New(observed("self", 1, Alive), Limits{MaxMembers: limits.MaxMembers, Retention: time.Hour}, start)
		for _, m := range v.Members() {
			w.Observe(Observation{ID: m.ID, Addr: m.Addr, Incarnation: m.Incarnation, State: Alive, Meta: m.Meta}, now)
			w.Observe(Observation{ID: m.ID, Addr: m.Addr, Incarnation: m.Incarnation, State: m.State, Meta: m.Meta}, now)
		}
		if v.Digest() != w.Digest() {
			t.Fatalf("digests %s and %s differ for members %v", v.Digest(), w.Digest(), v.Members())
		}
	})
}
