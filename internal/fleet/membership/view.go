package membership

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Limits bounds the size of a view.
type Limits struct {
	MaxMembers int           // MaxMembers includes the broker itself; observations of further members are rejected.
	Retention  time.Duration // Retention is how long a dead or left member stays in the view.
}

// View is a broker's view of the fleet. It is not safe for concurrent use: one goroutine owns it.
type View struct {
	limits  Limits
	self    string
	members map[string]*Member
	number  uint64
}

// initialMembers bounds the memory that a new view allocates before members join.
const initialMembers = 1024

// New returns a view that holds the broker itself.
func New(self Observation, limits Limits, now time.Time) *View {
	v := &View{limits: limits, self: self.ID, members: make(map[string]*Member, min(limits.MaxMembers, initialMembers))}
	v.Observe(self, now)
	return v
}

// Observe applies an observation and returns the change. It returns false if the observation is stale, brings nothing
// new, or is of a further member when the view is full.
func (v *View) Observe(observed Observation, now time.Time) (Change, bool) {
	held, known := v.members[observed.ID]
	if !known {
		return v.add(observed, now)
	}
	restarted := observed.Meta.Started.After(held.Meta.Started)
	if observed.Incarnation < held.Incarnation && !restarted {
		return Change{}, false
	}
	from := held.State
	reason, changed := transition(held, observed, restarted)
	if !changed {
		return Change{}, false
	}
	held.Addr, held.Incarnation, held.Meta = observed.Addr, observed.Incarnation, observed.Meta
	if held.State != observed.State {
		held.State, held.Since = observed.State, now
	}
	return v.change(held, from, reason), true
}

// add applies the first observation of a member.
func (v *View) add(observed Observation, now time.Time) (Change, bool) {
	if len(v.members) >= v.limits.MaxMembers {
		return Change{}, false
	}
	if observed.State.hasDeparted() {
		return Change{}, false // no other state depends on a member that this view never held as alive
	}
	member := &Member{
		ID: observed.ID, Addr: observed.Addr, Incarnation: observed.Incarnation, State: observed.State, Meta: observed.Meta,
		Since: now,
	}
	v.members[observed.ID] = member
	return v.change(member, observed.State, Joined), true
}

// change increments the view's number and returns the description of a change.
func (v *View) change(member *Member, from State, reason Reason) Change {
	v.number++
	return Change{Member: *member, From: from, Reason: reason, ViewNumber: v.number}
}

// Expire removes the members that departed longer ago than the retention. It returns the changes, ordered by member ID.
func (v *View) Expire(now time.Time) []Change {
	var removed []Change
	for id, member := range v.members {
		if member.State.hasDeparted() && now.Sub(member.Since) >= v.limits.Retention && id != v.self {
			delete(v.members, id)
			removed = append(removed, v.change(member, member.State, RetentionExceeded))
		}
	}
	slices.SortFunc(removed, func(a, b Change) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return removed
}

// Members returns copies of all members, ordered by ID.
func (v *View) Members() []Member {
	all := make([]Member, 0, len(v.members))
	for _, member := range v.members {
		all = append(all, *member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Member returns a copy of the member with an ID, or false if the view does not hold it.
func (v *View) Member(id string) (Member, bool) {
	if member := v.members[id]; member != nil {
		return *member, true
	}
	return Member{}, false
}

// Live returns the number of members that are alive or suspect, and the sum of their weights.
func (v *View) Live() (count int, weight uint64) {
	for _, member := range v.members {
		if !member.State.hasDeparted() {
			count++
			weight += uint64(member.Meta.Weight)
		}
	}
	return count, weight
}

// Number returns the number of changes that this view has applied. Two views with the same number may differ; compare
// them by Digest.
func (v *View) Number() uint64 { return v.number }

// Digest returns a short hash of the live members and their incarnations. Two views that agree on these have the same
// digest. A suspect member counts as live, because it may still refute the suspicion.
func (v *View) Digest() string {
	live := make([]*Member, 0, len(v.members))
	for _, member := range v.members {
		if !member.State.hasDeparted() {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	hash := fnv.New64a()
	for _, member := range live {
		fmt.Fprintf(hash, "%s@%d;", member.ID, member.Incarnation)
	}
	return fmt.Sprintf("%d-%016x", len(live), hash.Sum64())
}
