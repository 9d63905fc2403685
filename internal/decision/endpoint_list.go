package decision

import (
	"cmp"
	"time"
)

// Targets handles the event that an update of the endpoint list has arrived or that its request has failed.
// It ignores a list that is older than the last applied one, which could bring back an endpoint that has
// left.
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
	for _, entry := range l.Entries {
		b.applyEntry(now, l, entry)
	}
	for _, e := range b.updateListed(l) {
		b.startDraining(now, e)
	}
	// Endpoints are remembered while they could still be warming up or have calls in flight: one that returns in
	// that time keeps its state.
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

// scheduleWatch schedules the next watch of the list if discovery does not push changes. The pause before it
// doubles with each failure and has jitter. It counts from the start of the last watch, so that a watch that
// hung is followed by another one without a long pause.
func (b *Balancer) scheduleWatch(now time.Duration) {
	if !b.settings.PullDiscovery || b.watchScheduled {
		return
	}
	b.watchScheduled = true
	interval := b.settings.DiscoveryInterval
	shortest := max(seconds(min(watchBackoffShare*interval.Seconds(), watchBackoffMaxSeconds/3)), b.tickInterval)
	longest := max(min(interval, seconds(watchBackoffMaxSeconds)), shortest)
	b.watchBackoff = min(max(2*b.watchBackoff, shortest), longest)
	pause := max(b.watchBackoff+b.watchStartedAt-now, shortest)
	b.host.SetTimer(tokenWatch, pause-seconds(shortest.Seconds()*b.rng.Float64()))
}

// fetchSoon fetches the list after a connection broke or could not be established, at most once per interval.
func (b *Balancer) fetchSoon(now time.Duration) {
	if now < b.nextFetchAt {
		return
	}
	interval := cmp.Or(b.settings.DiscoveryInterval, max(b.settings.WarmUp, b.rateWindow))
	b.nextFetchAt = now + b.jitter(seconds(fetchIntervalShare*interval.Seconds()))
	b.host.Fetch()
}

// applyEntry updates one endpoint from its entry in a list.
func (b *Balancer) applyEntry(now time.Duration, l List, entry Entry) {
	e := b.byID[entry.Endpoint]
	if e == nil {
		e = &endpoint{id: entry.Endpoint, state: stateDraining}
		b.byID[entry.Endpoint] = e
	}
	e.zone, e.cell, e.machineKind, e.listVersion = entry.Zone, entry.Cell, max(entry.Kind, 0), l.Version
	b.weightsChanged = b.weightsChanged || e.weight != entry.Weight
	e.weight = entry.Weight
	e.listed = entry.State != Departed
	restarted := entry.Started > e.started
	e.started = max(e.started, entry.Started)
	switch {
	case entry.State != Ready:
		b.startDraining(now, e)
	case restarted && now-entry.Started < b.settings.WarmUp:
		e.errorRate = 0
		b.startSlowStart(now, e, entry.Started)
	case !restarted && e.state != stateDraining:
	case e.wasEjected && !restarted:
		b.setState(e, stateUsable)
		b.eject(now, e, reasonReturnedEjected)
	case len(b.listed) == 0 && (e.started == 0 || now-e.started >= b.settings.WarmUp):
		// The endpoint is in the first list. If all endpoints were in slow start, there would be no warm endpoint
		// whose send rate limits theirs.
		b.setState(e, stateUsable)
	default:
		b.startSlowStart(now, e, b.slowStartOrigin(now, e))
	}
}

// startDraining stops new calls to an endpoint that drains or has departed. Its calls in flight continue.
func (b *Balancer) startDraining(now time.Duration, e *endpoint) {
	if e.state != stateDraining {
		e.wasEjected, e.drainingSince = e.state == stateEjected, now
		b.recountCalls(e)
		b.setState(e, stateDraining)
	}
}
