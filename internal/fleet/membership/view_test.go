package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func observed(id string, incarnation uint32, state State) Observation {
	return Observation{ID: id, Addr: "127.0.0.1:1", Incarnation: incarnation, State: state, Meta: Meta{Started: start, Weight: 1}}
}

// Each transition of a member's state has its reason; an observation that is stale or known has none.
func TestObservationIsAChangeWithItsReasonOrIsIgnored(t *testing.T) {
	later := observed("b", 1, Alive)
	later.Meta.Started = start.Add(time.Minute)
	cases := []struct {
		name  string
		steps []Observation
		want  Reason // of the last step; "" for none
	}{
		{"joins", []Observation{observed("b", 1, Alive)}, Joined},
		{"probes fail", []Observation{observed("b", 1, Alive), observed("b", 1, Suspect)}, ProbesFailed},
		{"refutes", []Observation{observed("b", 1, Alive), observed("b", 1, Suspect), observed("b", 2, Alive)}, Refuted},
		{"refuted elsewhere", []Observation{observed("b", 1, Alive), observed("b", 2, Alive)}, Refuted},
		{"expires", []Observation{observed("b", 1, Suspect), observed("b", 1, Dead)}, SuspicionExpired},
		{"leaves", []Observation{observed("b", 1, Alive), observed("b", 1, Left)}, LeaveAnnounced},
		{"returns", []Observation{observed("b", 1, Alive), observed("b", 1, Dead), observed("b", 2, Alive)}, Returned},
		{"restarts under its id", []Observation{observed("b", 5, Alive), later}, Restarted},
		{"stale is no news", []Observation{observed("b", 3, Alive), observed("b", 3, Suspect), observed("b", 2, Alive)}, ""},
		{"stale suspicion of the dead", []Observation{observed("b", 1, Alive), observed("b", 1, Dead), observed("b", 1, Suspect)}, ""},
		{"the same twice", []Observation{observed("b", 1, Alive), observed("b", 1, Alive)}, ""},
		{"the never seen dead", []Observation{observed("b", 1, Dead)}, ""},
	}
	for _, tc := range cases {
		v := New(observed("a", 1, Alive), Limits{MaxMembers: 8, Retention: time.Minute}, start)
		var last Change
		var news bool
		for i, o := range tc.steps {
			last, news = v.Observe(o, start.Add(time.Duration(i)*time.Second))
		}
		got := Reason("")
		if news {
			got = last.Reason
		}
		if got != tc.want {
			t.Errorf("%s: reason %q, want %q", tc.name, got, tc.want)
		}
	}
}

// For any order of observations: the view holds at most MaxMembers, never accepts a lower incarnation of the same
// process, counts each change once, forgets departed members after the retention but never itself, and two views that
// were given the same last observation of each member have the same digest.
func TestInvariantsHoldForAnyOrderOfObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxMembers: rapid.IntRange(1, 6).Draw(t, "most"), Retention: 10 * time.Second}
		v := New(observed("self", 1, Alive), limits, start)
		held := map[string]uint32{}
		now := start
		for step := range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			o := observed(fmt.Sprint("m", rapid.IntRange(0, 8).Draw(t, "id")), uint32(rapid.IntRange(0, 4).Draw(t, "inc")),
				State(rapid.IntRange(0, 3).Draw(t, "state")))
			before := v.Number()
			c, news := v.Observe(o, now)
			if news != (v.Number() == before+1) || (news && c.ViewNumber != v.Number()) {
				t.Fatalf("step %d: news %v, number %d to %d", step, news, before, v.Number())
			}
			if inc, ok := held[o.ID]; ok && news && o.Incarnation < inc {
				t.Fatalf("step %d: took incarnation %d over %d", step, o.Incarnation, inc)
			}
			for _, f := range v.Expire(now) {
				if f.Member.ID == "self" || now.Sub(f.Member.Since) < limits.Retention {
					t.Fatalf("step %d: forgot %v", step, f.Member)
				}
			}
			clear(held)
			for _, m := range v.Members() {
				held[m.ID] = m.Incarnation
			}
			if len(held) > limits.MaxMembers || held["self"] != 1 {
				t.Fatalf("step %d: holds %v", step, held)
			}
		}
		// Another view, given only the last observation of each member, agrees.
		w := New(observed("self", 1, Alive), Limits{MaxMembers: limits.MaxMembers, Retention: time.Hour}, start)
		for _, m := range v.Members() {
			w.Observe(Observation{ID: m.ID, Addr: m.Addr, Incarnation: m.Incarnation, State: Alive, Meta: m.Meta}, now)
			w.Observe(Observation{ID: m.ID, Addr: m.Addr, Incarnation: m.Incarnation, State: m.State, Meta: m.Meta}, now)
		}
		if v.Digest() != w.Digest() {
			t.Fatalf("digests %s and %s of %v", v.Digest(), w.Digest(), v.Members())
		}
	})
}
