package decision

import (
	"cmp"
	"slices"
)

// This file holds which endpoints there are, and sets of those that a decision has to look at; it decides nothing.
// With two thousand listed, of which an instance calls a few, a tick that looked at all of them cost most of its time.

// roster is the endpoints that an instance knows. All sets are of listed ones, in the order of their ids: to go over
// one is to go over the list and pass over the others.
type endpointIndex struct {
	byID           map[EndpointID]*endpoint
	listed         []*endpoint
	departed       []*endpoint // no longer listed, and still remembered; in no order
	subset         []*endpoint // in this instance's subset
	busy           []*endpoint // with own calls in flight
	inSlowStart    []*endpoint // ramping
	ejected        []*endpoint // isolated
	overdue        []*endpoint // with calls in flight that they will hardly answer, as of the last tick
	usableCount    int         // usable
	weightsChanged bool        // who is listed, or a weight, has changed since they were weighed
	subsetStale    bool        // marks, the list or this instance's needs have changed since the subset was counted
}

func compareIDs(x, y *endpoint) int { return cmp.Compare(x.id, y.id) }

func sortByID(set []*endpoint) { slices.SortFunc(set, compareIDs) }

// keep has a set hold an endpoint, or not.
func setMembership(set *[]*endpoint, e *endpoint, in bool) {
	switch at, has := slices.BinarySearchFunc(*set, e, compareIDs); {
	case in && !has:
		*set = slices.Insert(*set, at, e)
	case !in && has:
		*set = slices.Delete(*set, at, at+1)
	}
}

// turn changes an endpoint's mark.
func (r *endpointIndex) setState(e *endpoint, to endpointState) {
	if e.state == to {
		return
	}
	if e.indexed {
		r.countUsable(e, -1)
	}
	e.state, e.peerTrialBackoff = to, 0
	if e.indexed {
		r.countUsable(e, 1)
	}
	r.updateSets(e)
	r.subsetStale = true
}

// sum counts a listed endpoint in, or out.
func (r *endpointIndex) countUsable(e *endpoint, n int) {
	if e.state == stateUsable {
		r.usableCount += n
	}
}

// note has the sets tell of an endpoint's mark and calls as they are now.
func (r *endpointIndex) updateSets(e *endpoint) {
	setMembership(&r.busy, e, e.indexed && len(e.calls) > 0)
	setMembership(&r.inSlowStart, e, e.indexed && e.state == stateSlowStart)
	setMembership(&r.ejected, e, e.indexed && e.state == stateEjected)
}

// relist takes in who is listed now, after the entries of a list were noted, and tells who no longer is.
func (r *endpointIndex) relist(l List) (left []*endpoint) {
	r.subsetStale = true
	list := func(e *endpoint, in bool) {
		if e.indexed != in {
			e.indexed = in
			r.countUsable(e, map[bool]int{false: -1, true: 1}[in])
			r.updateSets(e)
			r.weightsChanged = true
			if !in {
				left = append(left, e)
			}
		}
		if in == e.departed { // it is back, has gone, or was never there
			if e.departed = !in; e.departed {
				r.departed = append(r.departed, e)
			} else {
				r.departed = slices.DeleteFunc(r.departed, func(x *endpoint) bool { return x == e })
			}
		}
	}
	if l.Kind == DeltaList {
		for _, x := range l.Entries {
			e := r.byID[x.Endpoint]
			setMembership(&r.listed, e, e.listed)
			list(e, e.listed)
		}
	} else {
		old := r.listed
		r.listed = make([]*endpoint, 0, len(l.Entries))
		for _, e := range old {
			if !e.listed {
				list(e, false)
			}
		}
		for _, x := range l.Entries {
			e := r.byID[x.Endpoint]
			if list(e, e.listed); e.listed {
				r.listed = append(r.listed, e)
			}
		}
		sortByID(r.listed)
		r.listed = slices.Compact(r.listed)
	}
	return left
}

// forget forgets those that have gone of which nothing is to be remembered.
func (r *endpointIndex) forget(may func(*endpoint) bool) {
	r.departed = slices.DeleteFunc(r.departed, func(e *endpoint) bool {
		if !may(e) {
			return false
		}
		delete(r.byID, e.id)
		return true
	})
}
