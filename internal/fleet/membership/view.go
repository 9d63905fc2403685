package membership

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Limits bound the view.
type Limits struct {
	Most int           // members held, itself among them; observations of further ones are refused
	Kept time.Duration // how long a dead or left member is remembered
}

// Refusal counts observations that the view did not take, by why.
type Refusal struct {
	Full  uint64 // of a new member while Most are held
	Stale uint64 // of an incarnation older than the one held
}

// View is a broker's view of the fleet. It is not safe for concurrent use: one goroutine owns it.
type View struct {
	limits  Limits
	self    string
	members map[string]*Member
	number  uint64
	changed time.Time
	refused Refusal
}

// New makes a view that holds its own member.
func New(self Observation, limits Limits, now time.Time) *View {
	v := &View{limits: limits, self: self.ID, members: make(map[string]*Member, min(limits.Most, 1024))}
	v.Observe(self, now)
	return v
}

// Observe takes what the gossip says of a member, and returns what changed, if anything.
func (v *View) Observe(o Observation, now time.Time) (Change, bool) {
	m, known := v.members[o.ID]
	if !known {
		if len(v.members) >= v.limits.Most {
			v.refused.Full++
			return Change{}, false
		}
		if o.State.gone() {
			return Change{}, false // what was never seen alive is nothing to remember
		}
		m = &Member{ID: o.ID, Addr: o.Addr, Incarnation: o.Incarnation, State: o.State, Meta: o.Meta, Since: now}
		v.members[o.ID] = m
		return v.change(m, o.State, Joined, now), true
	}
	restarted := o.Meta.Started.After(m.Meta.Started)
	if o.Incarnation < m.Incarnation && !restarted {
		v.refused.Stale++
		return Change{}, false
	}
	from := m.State
	reason, ok := transition(m, o, restarted)
	if !ok {
		return Change{}, false
	}
	m.Addr, m.Incarnation, m.Meta = o.Addr, o.Incarnation, o.Meta
	if m.State != o.State {
		m.State, m.Since = o.State, now
	}
	return v.change(m, from, reason, now), true
}

// change counts a change.
func (v *View) change(m *Member, from State, r Reason, now time.Time) Change {
	v.number++
	v.changed = now
	return Change{Member: *m, From: from, Reason: r, Number: v.number}
}

// Expire forgets members that have been dead or left for longer than they are kept, and returns them.
func (v *View) Expire(now time.Time) []Change {
	var forgotten []Change
	for id, m := range v.members {
		if m.State.gone() && now.Sub(m.Since) >= v.limits.Kept && id != v.self {
			delete(v.members, id)
			forgotten = append(forgotten, v.change(m, m.State, Forgotten, now))
		}
	}
	slices.SortFunc(forgotten, func(a, b Change) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return forgotten
}

// Members are all that are held, by id.
func (v *View) Members() []Member {
	all := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Member is one that is held.
func (v *View) Member(id string) (Member, bool) {
	if m := v.members[id]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// Live counts the members that are alive or suspect, and sums their weights.
func (v *View) Live() (n int, weight uint64) {
	for _, m := range v.members {
		if !m.State.gone() {
			n++
			weight += uint64(m.Meta.Weight)
		}
	}
	return n, weight
}

// Number counts the changes of this view since it began. Two views with the same number need not be the same.
func (v *View) Number() uint64 { return v.number }

// Digest is a short hash of who takes part, and under which incarnation: the same in two views that agree on it.
// Suspect counts as taking part, as it may still refute; dead and left members do not.
func (v *View) Digest() string {
	live := make([]*Member, 0, len(v.members))
	for _, m := range v.members {
		if !m.State.gone() {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	h := fnv.New64a()
	for _, m := range live {
		fmt.Fprintf(h, "%s@%d;", m.ID, m.Incarnation)
	}
	return fmt.Sprintf("%d-%016x", len(live), h.Sum64())
}

// Settled tells whether nothing has changed for quiet.
func (v *View) Settled(now time.Time, quiet time.Duration) bool { return now.Sub(v.changed) >= quiet }

// Refused counts what was not taken.
func (v *View) Refused() Refusal { return v.refused }
