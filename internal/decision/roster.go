package decision

import (
	"cmp"
	"slices"
)

// This file holds which endpoints there are, and sets of those that a decision has to look at; it decides nothing.
// With two thousand listed, of which an instance calls a few, a tick that looked at all of them cost most of its time.

// roster is the endpoints that an instance knows. All sets are of listed ones, in the order of their ids: to go over
// one is to go over the list and pass over the others.
type roster struct {
	byID    map[EndpointID]*endpoint
	listed  []*endpoint
	gone    []*endpoint // no longer listed, and still remembered; in no order
	mine    []*endpoint // in this instance's subset
	busy    []*endpoint // with own calls in flight
	ramps   []*endpoint // ramping
	shunned []*endpoint // isolated
	overdue []*endpoint // with calls in flight that they will hardly answer, as of the last tick
	whole   int         // usable
	reweigh bool        // who is listed, or a weight, has changed since they were weighed
	recount bool        // marks, the list or this instance's needs have changed since the subset was counted
}

func compareIDs(x, y *endpoint) int { return cmp.Compare(x.id, y.id) }

func sortByID(set []*endpoint) { slices.SortFunc(set, compareIDs) }

// keep has a set hold an endpoint, or not.
func keep(set *[]*endpoint, e *endpoint, in bool) {
	switch at, has := slices.BinarySearchFunc(*set, e, compareIDs); {
	case in && !has:
		*set = slices.Insert(*set, at, e)
	case !in && has:
		*set = slices.Delete(*set, at, at+1)
	}
}

// turn changes an endpoint's mark.
func (r *roster) turn(e *endpoint, to mark) {
	if e.mark == to {
		return
	}
	if e.rostered {
		r.sum(e, -1)
	}
	e.mark, e.advised = to, 0
	if e.rostered {
		r.sum(e, 1)
	}
	r.note(e)
	r.recount = true
}

// sum counts a listed endpoint in, or out.
func (r *roster) sum(e *endpoint, n int) {
	if e.mark == usable {
		r.whole += n
	}
}

// note has the sets tell of an endpoint's mark and calls as they are now.
func (r *roster) note(e *endpoint) {
	keep(&r.busy, e, e.rostered && len(e.calls) > 0)
	keep(&r.ramps, e, e.rostered && e.mark == ramping)
	keep(&r.shunned, e, e.rostered && e.mark == isolated)
}

// relist takes in who is listed now, after the entries of a list were noted, and tells who no longer is.
func (r *roster) relist(l List) (left []*endpoint) {
	r.recount = true
	list := func(e *endpoint, in bool) {
		if e.rostered != in {
			e.rostered = in
			r.sum(e, map[bool]int{false: -1, true: 1}[in])
			r.note(e)
			r.reweigh = true
			if !in {
				left = append(left, e)
			}
		}
		if in == e.away { // it is back, has gone, or was never there
			if e.away = !in; e.away {
				r.gone = append(r.gone, e)
			} else {
				r.gone = slices.DeleteFunc(r.gone, func(x *endpoint) bool { return x == e })
			}
		}
	}
	if l.Kind == DeltaList {
		for _, x := range l.Entries {
			e := r.byID[x.Endpoint]
			keep(&r.listed, e, e.listed)
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
func (r *roster) forget(may func(*endpoint) bool) {
	r.gone = slices.DeleteFunc(r.gone, func(e *endpoint) bool {
		if !may(e) {
			return false
		}
		delete(r.byID, e.id)
		return true
	})
}
