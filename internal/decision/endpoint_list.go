package decision

import (
	"cmp"
	"time"
)

// Targets is the event of an update of the endpoint list, or of a failure to get one. A list that is older
// than the last one taken is ignored: an endpoint that has left would come back.
func (b *Balancer) Targets(now time.Duration, l List) {
	if l.Kind == FailedList {
		b.scheduleWatch(now)
		return
	}
	if l.Version < b.listVersion && !l.VersionsRestart {
		return
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
	for _, e := range b.updateListed(l) {
		b.startDraining(now, e)
	}
	// An endpoint that comes back before its warm-up is over or its calls have ended is still the same.
	isCrowded := len(b.byID) > maxDepartedEndpoints+2*len(b.listed)
	b.forgetDeparted(func(e *endpoint) bool {
		return len(e.calls)+e.uploads == 0 && (isCrowded || now-e.drainingSince >= b.settings.WarmUp)
	})
	if l.Kind == CachedList {
		b.scheduleWatch(now)
	} else {
		b.watchBackoff = 0
	}
	b.dispatch(now)
	b.startTick()
}

// scheduleWatch watches the list again after a pause that doubles with each failure, with jitter, where
// discovery must be asked. The pause counts from the start of the last watch, so a call that hung has used
// it up.
func (b *Balancer) scheduleWatch(now time.Duration) {
	if !b.settings.PullDiscovery || b.watchScheduled {
		return
	}
	b.watchScheduled = true
	interval := b.settings.DiscoveryInterval
	first := max(seconds(min(watchBackoffShare*interval.Seconds(), watchBackoffMaxSeconds/3)), b.tickInterval)
	longest := max(min(interval, seconds(watchBackoffMaxSeconds)), first)
	b.watchBackoff = min(max(2*b.watchBackoff, first), longest)
	pause := max(b.watchBackoff+b.watchStartedAt-now, first)
	b.host.SetTimer(tokenWatch, pause-seconds(first.Seconds()*b.rng.Float64()))
}

// fetchSoon fetches the list after a broken connection, at most once in an interval.
func (b *Balancer) fetchSoon(now time.Duration) {
	if now < b.nextFetchAt {
		return
	}
	interval := cmp.Or(b.settings.DiscoveryInterval, max(b.settings.WarmUp, b.rateWindow))
	b.nextFetchAt = now + b.jitter(seconds(fetchIntervalShare*interval.Seconds()))
	b.host.Fetch()
}

// applyEntry updates one endpoint by its line of a list.
func (b *Balancer) applyEntry(now time.Duration, l List, x Entry) {
	e := b.byID[x.Endpoint]
	if e == nil {
		e = &endpoint{id: x.Endpoint, state: stateDraining}
		b.byID[x.Endpoint] = e
	}
	e.zone, e.cell, e.machineKind, e.listVersion = x.Zone, x.Cell, max(x.Kind, 0), l.Version
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
		// The first list: with all endpoints in slow start none would be left to measure them by.
		b.setState(e, stateUsable)
	default:
		b.startSlowStart(now, e, b.slowStartOrigin(now, e))
	}
}

// startDraining marks an endpoint that drains or has departed: it gets no new calls, and those in flight go
// on.
func (b *Balancer) startDraining(now time.Duration, e *endpoint) {
	if e.state != stateDraining {
		e.wasEjected, e.drainingSince = e.state == stateEjected, now
		b.recountCalls(e)
		b.setState(e, stateDraining)
	}
}
