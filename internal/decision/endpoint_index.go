package decision

import (
	"cmp"
	"slices"
)

// endpointIndex holds the known endpoints and several sets of them, so that a tick with thousands of
// endpoints visits only the few that it needs. All sets except departed contain only listed endpoints, in the
// order of their IDs. Iterating over a set therefore gives the same order as filtering the whole list.
type endpointIndex struct {
	byID        map[EndpointID]*endpoint
	listed      []*endpoint
	departed    []*endpoint // no longer listed, but still remembered; unordered
	subset      []*endpoint // endpoints in the subset of this instance
	busy        []*endpoint // endpoints with calls in flight from this instance
	inSlowStart []*endpoint
	ejected     []*endpoint
	overdue     []*endpoint // endpoints with overdue calls, as of the last tick
	usableCount int         // number of listed endpoints that are usable

	weightsChanged bool // the listed endpoints or a weight have changed since checkWeights ran
	subsetStale    bool // states, the list or the demand have changed since updateSubset ran
}

// compareIDs compares two endpoints by ID, for sorting.
func compareIDs(x, y *endpoint) int { return cmp.Compare(x.id, y.id) }

// sortByID sorts a set in place, in the order that setMembership expects.
func sortByID(set []*endpoint) { slices.SortFunc(set, compareIDs) }

// setMembership inserts an endpoint into a sorted set or removes it, as isMember says.
func setMembership(set *[]*endpoint, e *endpoint, isMember bool) {
	switch i, found := slices.BinarySearchFunc(*set, e, compareIDs); {
	case isMember && !found:
		*set = slices.Insert(*set, i, e)
	case !isMember && found:
		*set = slices.Delete(*set, i, i+1)
	}
}

// setState changes the state of an endpoint and updates the sets.
func (x *endpointIndex) setState(e *endpoint, to endpointState) {
	if e.state == to {
		return
	}
	if e.indexed {
		x.countUsable(e, -1)
	}
	e.state, e.peerTrialBackoff = to, 0
	if e.indexed {
		x.countUsable(e, 1)
	}
	x.updateSets(e)
	x.subsetStale = true
}

// countUsable adds n to usableCount if the endpoint is usable.
func (x *endpointIndex) countUsable(e *endpoint, n int) {
	if e.state == stateUsable {
		x.usableCount += n
	}
}

// updateSets updates the membership of an endpoint in the sets, by its state and its calls.
func (x *endpointIndex) updateSets(e *endpoint) {
	setMembership(&x.busy, e, e.indexed && len(e.calls) > 0)
	setMembership(&x.inSlowStart, e, e.indexed && e.state == stateSlowStart)
	setMembership(&x.ejected, e, e.indexed && e.state == stateEjected)
}

// updateListed updates the sets after the entries of a list have been applied to the endpoints. It returns
// the endpoints that are no longer listed.
func (x *endpointIndex) updateListed(l List) (removed []*endpoint) {
	x.subsetStale = true
	if l.Kind == DeltaList {
		for _, entry := range l.Entries {
			e := x.byID[entry.Endpoint]
			setMembership(&x.listed, e, e.listed)
			removed = x.setListed(e, e.listed, removed)
		}
		return removed
	}
	previous := x.listed
	x.listed = make([]*endpoint, 0, len(l.Entries))
	for _, e := range previous {
		if !e.listed {
			removed = x.setListed(e, false, removed)
		}
	}
	for _, entry := range l.Entries {
		e := x.byID[entry.Endpoint]
		if removed = x.setListed(e, e.listed, removed); e.listed {
			x.listed = append(x.listed, e)
		}
	}
	sortByID(x.listed)
	x.listed = slices.Compact(x.listed)
	return removed
}

// setListed updates the sets for one endpoint that is listed or not. It returns removed, with the endpoint
// appended if it is no longer listed.
func (x *endpointIndex) setListed(e *endpoint, isListed bool, removed []*endpoint) []*endpoint {
	if e.indexed != isListed {
		e.indexed = isListed
		n := 1
		if !isListed {
			n = -1
			removed = append(removed, e)
		}
		x.countUsable(e, n)
		x.updateSets(e)
		x.weightsChanged = true
	}
	if isListed == e.departed { // the endpoint has returned, has departed, or was never listed
		if e.departed = !isListed; e.departed {
			x.departed = append(x.departed, e)
		} else {
			x.departed = slices.DeleteFunc(x.departed, func(other *endpoint) bool { return other == e })
		}
	}
	return removed
}

// forgetDeparted removes the departed endpoints for which mayForget returns true.
func (x *endpointIndex) forgetDeparted(mayForget func(*endpoint) bool) {
	x.departed = slices.DeleteFunc(x.departed, func(e *endpoint) bool {
		if !mayForget(e) {
			return false
		}
		delete(x.byID, e.id)
		return true
	})
}
