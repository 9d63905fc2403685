// How the list of endpoints is followed.

package decision

import (
	"time"
)

// Targets takes news of the endpoint list.
func (b *Balancer) Targets(now time.Duration, l List) {
	if l.Kind == FailedList {
		b.rewatch(now)
		return
	}
	if l.Version < b.version && !l.VersionsRestart {
		return // older than what is known: an endpoint that has left would come back
	}
	b.version = l.Version
	if b.tenants == nil {
		b.meter(now)
	}
	if l.Kind != DeltaList {
		for _, e := range b.listed {
			e.listed = false
		}
	}
	for _, x := range l.Entries {
		b.entry(now, l, x)
	}
	for _, e := range b.relist(l) {
		b.leave(now, e)
	}
	// Until it is warm, and its calls have ended, one that comes back is still the same.
	crowd := len(b.byID) > goneMost+2*len(b.listed)
	b.forget(func(e *endpoint) bool {
		return len(e.calls)+e.coming == 0 && (crowd || now-e.left >= b.set.WarmUp)
	})
	if l.Kind == CachedList {
		b.rewatch(now)
	} else {
		b.watchPause = 0
	}
	b.place(now)
	b.arm()
}

// rewatch subscribes after a pause that grows with each failure, spread; a call that hung has used it up.
func (b *Balancer) rewatch(now time.Duration) {
	if !b.set.PullDiscovery || b.watchDue {
		return
	}
	b.watchDue = true
	first := max(seconds(min(watchShare*b.set.DiscoveryInterval.Seconds(), watchMost/3)), b.tick)
	b.watchPause = min(max(2*b.watchPause, first), max(min(b.set.DiscoveryInterval, seconds(watchMost)), first))
	b.host.SetTimer(tokenWatch, max(b.watchPause+b.watchAt-now, first)-seconds(first.Seconds()*b.rng.Float64()))
}

// entry takes one line of a list.
func (b *Balancer) entry(now time.Duration, l List, x Entry) {
	e := b.byID[x.Endpoint]
	if e == nil {
		e = &endpoint{id: x.Endpoint, mark: leaving}
		b.byID[x.Endpoint] = e
	}
	e.zone, e.cell, e.kind, e.version = x.Zone, x.Cell, max(x.Kind, 0), l.Version
	b.reweigh = b.reweigh || e.weight != x.Weight
	e.weight = x.Weight
	e.listed = x.State != Departed
	restarted := x.Started > e.started
	e.started = max(e.started, x.Started)
	switch {
	case x.State != Ready:
		b.leave(now, e)
	case restarted && now-x.Started < b.set.WarmUp:
		e.errors = 0
		b.ramp(now, e, x.Started)
	case !restarted && e.mark != leaving:
	case e.unproven && !restarted:
		b.turn(e, usable)
		b.isolate(now, e, "as before it left")
	case len(b.listed) == 0 && (e.started == 0 || now-e.started >= b.set.WarmUp):
		b.turn(e, usable) // of the first list: were all to ramp, none would be there to measure them by
	default:
		b.ramp(now, e, b.since(now, e))
	}
}

// leave marks an endpoint that drains or is gone: nothing new goes there, what runs may end.
func (b *Balancer) leave(now time.Duration, e *endpoint) {
	if e.mark != leaving {
		e.unproven, e.left = e.mark == isolated, now
		b.reopen(e)
		b.turn(e, leaving)
	}
}

// since is from when on the ramp of an endpoint counts that is back, where nothing showed a restart: it need
// not begin anew, but what was cold before is no warmer for having been away.
func (b *Balancer) since(now time.Duration, e *endpoint) time.Duration {
	from := now - seconds(returnedWarm*b.set.WarmUp.Seconds())
	if last := max(e.coldFrom, e.started); last > 0 {
		from = max(from, last)
	}
	return from
}

// reopen counts an isolated endpoint's calls in flight again, as it is isolated no longer.
func (b *Balancer) reopen(e *endpoint) {
	if e.mark == isolated {
		b.out += len(e.calls)
	}
}
