package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func seen(id string, inc uint32, s State) Observation {
	return Observation{ID: id, Addr: "127.0.0.1:1", Incarnation: inc, State: s, Meta: Meta{Started: t0, Weight: 1}}
}

// Each step of a member's life, from what the view holds to what the gossip says: what the view calls it, if news.
func TestTransitions(t *testing.T) {
	later := seen("b", 1, Alive)
	later.Meta.Started = t0.Add(time.Minute)
	cases := []struct {
		name  string
		steps []Observation
		want  Reason // of the last step; "" for none
	}{
		{"joins", []Observation{seen("b", 1, Alive)}, Joined},
		{"probes fail", []Observation{seen("b", 1, Alive), seen("b", 1, Suspect)}, Probes},
		{"refutes", []Observation{seen("b", 1, Alive), seen("b", 1, Suspect), seen("b", 2, Alive)}, Refuted},
		{"refuted elsewhere", []Observation{seen("b", 1, Alive), seen("b", 2, Alive)}, Refuted},
		{"expires", []Observation{seen("b", 1, Suspect), seen("b", 1, Dead)}, Expired},
		{"leaves", []Observation{seen("b", 1, Alive), seen("b", 1, Left)}, Said},
		{"returns", []Observation{seen("b", 1, Alive), seen("b", 1, Dead), seen("b", 2, Alive)}, Returned},
		{"restarts under its id", []Observation{seen("b", 5, Alive), later}, Restarted},
		{"stale is no news", []Observation{seen("b", 3, Alive), seen("b", 3, Suspect), seen("b", 2, Alive)}, ""},
		{"stale suspicion of the dead", []Observation{seen("b", 1, Alive), seen("b", 1, Dead), seen("b", 1, Suspect)}, ""},
		{"the same twice", []Observation{seen("b", 1, Alive), seen("b", 1, Alive)}, ""},
		{"the never seen dead", []Observation{seen("b", 1, Dead)}, ""},
	}
	for _, tc := range cases {
		v := New(seen("a", 1, Alive), Limits{Most: 8, Kept: time.Minute}, t0)
		var last Change
		var news bool
		for i, o := range tc.steps {
			last, news = v.Observe(o, t0.Add(time.Duration(i)*time.Second))
		}
		if got := Reason(""); news {
			got = last.Reason
			if got != tc.want {
				t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
			}
		} else if tc.want != "" {
			t.Errorf("%s: no change, want %q", tc.name, tc.want)
		}
	}
}

// Whatever the gossip says in whatever order: the view holds at most Most, never takes an older incarnation of the
// same process, counts each change once, forgets the gone after Kept but never itself, and two views that were told
// the same last word of each member have the same digest.
func TestViewProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Most: rapid.IntRange(1, 6).Draw(t, "most"), Kept: 10 * time.Second}
		v := New(seen("self", 1, Alive), limits, t0)
		held := map[string]uint32{}
		now := t0
		for step := range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			o := seen(fmt.Sprint("m", rapid.IntRange(0, 8).Draw(t, "id")), uint32(rapid.IntRange(0, 4).Draw(t, "inc")),
				State(rapid.IntRange(0, 3).Draw(t, "state")))
			before := v.Number()
			c, news := v.Observe(o, now)
			if news != (v.Number() == before+1) || (news && c.Number != v.Number()) {
				t.Fatalf("step %d: news %v, number %d to %d", step, news, before, v.Number())
			}
			if inc, ok := held[o.ID]; ok && news && o.Incarnation < inc {
				t.Fatalf("step %d: took incarnation %d over %d", step, o.Incarnation, inc)
			}
			for _, f := range v.Expire(now) {
				if f.Member.ID == "self" || now.Sub(f.Member.Since) < limits.Kept {
					t.Fatalf("step %d: forgot %v", step, f.Member)
				}
			}
			clear(held)
			for _, m := range v.Members() {
				held[m.ID] = m.Incarnation
			}
			if len(held) > limits.Most || held["self"] != 1 {
				t.Fatalf("step %d: holds %v", step, held)
			}
		}
		// Another view told only the last word of each member agrees.
		w := New(seen("self", 1, Alive), Limits{Most: limits.Most, Kept: time.Hour}, t0)
		for _, m := range v.Members() {
			w.Observe(Observation{ID: m.ID, Addr: m.Addr, Incarnation: m.Incarnation, State: Alive, Meta: m.Meta}, now)
			w.Observe(Observation{ID: m.ID, Addr: m.Addr, Incarnation: m.Incarnation, State: m.State, Meta: m.Meta}, now)
		}
		if v.Digest() != w.Digest() {
			t.Fatalf("digests %s and %s of %v", v.Digest(), w.Digest(), v.Members())
		}
	})
}
