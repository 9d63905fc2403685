package decision

import (
	"cmp"
	"slices"
)

// endpointIndex holds the known endpoints and the sets that decisions go over, so that a tick over a list of
// thousands looks only at the few that matter. All sets but departed are of listed endpoints, in the order of
// their ids: going over one is the same as going over the list and skipping the others.
type endpointIndex struct {
	byID        map[EndpointID]*endpoint
	listed      []*endpoint
	departed    []*endpoint // no longer listed, but still remembered; in no order
	subset      []*endpoint // in this instance's subset
	busy        []*endpoint // with own calls in flight
	inSlowStart []*endpoint
	ejected     []*endpoint
	overdue     []*endpoint // with overdue calls, as of the last tick
	usableCount int         // listed endpoints that are usable

	weightsChanged bool // the listed endpoints, or a weight, have changed since checkWeights
	subsetStale    bool // states, the list or the demand have changed since updateSubset
}

// compareIDs orders endpoints by id.
func compareIDs(x, y *endpoint) int { return cmp.Compare(x.id, y.id) }

// sortByID sorts endpoints by id.
func sortByID(set []*endpoint) { slices.SortFunc(set, compareIDs) }

// setMembership adds an endpoint to a set, or removes it.
func setMembership(set *[]*endpoint, e *endpoint, isMember bool) {
	switch at, has := slices.BinarySearchFunc(*set, e, compareIDs); {
	case isMember && !has:
		*set = slices.Insert(*set, at, e)
	case !isMember && has:
		*set = slices.Delete(*set, at, at+1)
	}
}

// setState changes an endpoint's state, and the sets with it.
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

// countUsable adds n to the number of usable endpoints if this is one.
func (x *endpointIndex) countUsable(e *endpoint, n int) {
	if e.state == stateUsable {
		x.usableCount += n
	}
}

// updateSets updates the sets by an endpoint's state and calls.
func (x *endpointIndex) updateSets(e *endpoint) {
	setMembership(&x.busy, e, e.indexed && len(e.calls) > 0)
	setMembership(&x.inSlowStart, e, e.indexed && e.state == stateSlowStart)
	setMembership(&x.ejected, e, e.indexed && e.state == stateEjected)
}

// updateListed takes in which endpoints are listed, after the entries of a list were applied to the endpoints, and returns
// those that no longer are.
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
	old := x.listed
	x.listed = make([]*endpoint, 0, len(l.Entries))
	for _, e := range old {
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

// setListed takes in whether one endpoint is listed. It returns removed, with the endpoint if it no longer is.
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
	if isListed == e.departed { // it has come back, has departed, or was never listed
		if e.departed = !isListed; e.departed {
			x.departed = append(x.departed, e)
		} else {
			x.departed = slices.DeleteFunc(x.departed, func(other *endpoint) bool { return other == e })
		}
	}
	return removed
}

// forgetDeparted drops departed endpoints for which a condition holds.
func (x *endpointIndex) forgetDeparted(mayForget func(*endpoint) bool) {
	x.departed = slices.DeleteFunc(x.departed, func(e *endpoint) bool {
		if !mayForget(e) {
			return false
		}
		delete(x.byID, e.id)
		return true
	})
}
