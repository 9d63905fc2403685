// How the list of endpoints is followed.

package decision

import (
	"cmp"
	"time"
)

// Targets takes news of the endpoint list.
func (b *Balancer) Targets(now time.Duration, l List) {
	if l.Kind == FailedList {
		b.scheduleWatch(now)
		return
	}
	if l.Version < b.listVersion && !l.VersionsRestart {
		return // older than what is known: an endpoint that has left would come back
	}
	b.listVersion = l.Version
	if b.tenants == nil {
		b.startTenantBuckets(now)
	}
	if l.Kind != DeltaList {
		for _, e := range b.listed {
			e.listed = false
		}
	}
	for _, x := range l.Entries {
		b.applyEntry(now, l, x)
	}
	for _, e := range b.relist(l) {
		b.startDraining(now, e)
	}
	// Until it is warm, and its calls have ended, one that comes back is still the same.
	crowd := len(b.byID) > maxDepartedEndpoints+2*len(b.listed)
	b.forget(func(e *endpoint) bool {
		return len(e.calls)+e.uploads == 0 && (crowd || now-e.drainingSince >= b.settings.WarmUp)
	})
	if l.Kind == CachedList {
		b.scheduleWatch(now)
	} else {
		b.watchBackoff = 0
	}
	b.dispatch(now)
	b.startTick()
}

// rewatch subscribes after a pause that grows with each failure, spread; a call that hung has used it up.
func (b *Balancer) scheduleWatch(now time.Duration) {
	if !b.settings.PullDiscovery || b.watchScheduled {
		return
	}
	b.watchScheduled = true
	first := max(seconds(min(watchBackoffShare*b.settings.DiscoveryInterval.Seconds(), watchBackoffMaxSeconds/3)), b.tick)
	b.watchBackoff = min(max(2*b.watchBackoff, first), max(min(b.settings.DiscoveryInterval, seconds(watchBackoffMaxSeconds)), first))
	b.host.SetTimer(tokenWatch, max(b.watchBackoff+b.watchStartedAt-now, first)-seconds(first.Seconds()*b.rng.Float64()))
}

// refresh asks for a fresh list after a broken connection, at a pace.
func (b *Balancer) fetchSoon(now time.Duration) {
	if now < b.nextFetchAt {
		return
	}
	pace := cmp.Or(b.settings.DiscoveryInterval, max(b.settings.WarmUp, b.rateWindow))
	b.nextFetchAt = now + b.jitter(seconds(fetchIntervalShare*pace.Seconds()))
	b.host.Fetch()
}

// entry takes one line of a list.
func (b *Balancer) applyEntry(now time.Duration, l List, x Entry) {
	e := b.byID[x.Endpoint]
	if e == nil {
		e = &endpoint{id: x.Endpoint, state: stateDraining}
		b.byID[x.Endpoint] = e
	}
	e.zone, e.cell, e.kind, e.listVersion = x.Zone, x.Cell, max(x.Kind, 0), l.Version
	b.weightsChanged = b.weightsChanged || e.weight != x.Weight
	e.weight = x.Weight
	e.listed = x.State != Departed
	restarted := x.Started > e.started
	e.started = max(e.started, x.Started)
	switch {
	case x.State != Ready:
		b.startDraining(now, e)
	case restarted && now-x.Started < b.settings.WarmUp:
		e.errorRate = 0
		b.startSlowStart(now, e, x.Started)
	case !restarted && e.state != stateDraining:
	case e.wasEjected && !restarted:
		b.setState(e, stateUsable)
		b.eject(now, e, "as before it left")
	case len(b.listed) == 0 && (e.started == 0 || now-e.started >= b.settings.WarmUp):
		b.setState(e, stateUsable) // of the first list: were all to ramp, none would be there to measure them by
	default:
		b.startSlowStart(now, e, b.slowStartOrigin(now, e))
	}
}

// leave marks an endpoint that drains or is gone: nothing new goes there, what runs may end.
func (b *Balancer) startDraining(now time.Duration, e *endpoint) {
	if e.state != stateDraining {
		e.wasEjected, e.drainingSince = e.state == stateEjected, now
		b.recountCalls(e)
		b.setState(e, stateDraining)
	}
}
