package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// Discovery is a client of the discovery service that follows the list of endpoints. The loop calls its methods, which must
// not block. It reports lists and failures to its Sink, in the loop's goroutine.
type Discovery interface {
	// Watch starts a watch for the changes after a version. With nil, the watch starts with the full list.
	Watch(since *uint64)
	// Stop ends the watch. Lists that the watch has received but not yet reported are dropped.
	Stop()
	// Fetch requests the full list once, unless a fetch is in progress.
	Fetch()
}

// Sink receives the lists and failures that a Discovery reports.
type Sink interface {
	// Post runs a function in the loop's goroutine.
	Post(func())
	// ListReceived handles a list, and ListFailed handles a failure to get one. Both are called in the loop's goroutine,
	// and both ignore a Discovery that the loop no longer follows.
	ListReceived(from Discovery, list List, source Source)
	ListFailed(from Discovery, err error)
}

// NewDiscovery creates a client for the discovery service at an address.
type NewDiscovery func(address string, to Sink) Discovery

// List is a full or partial update of the endpoint list. The platform defines its JSON form.
type List struct {
	Rev     uint64   `json:"rev"` // version of the list
	Full    bool     `json:"all"` // Targets has all endpoints; otherwise only the changed ones
	Targets []Target `json:"targets"`
}

// Target is the entry of one endpoint in a List. The platform defines its JSON form.
type Target struct {
	UID     string  `json:"uid"`
	Address string  `json:"endpoint"`
	Zone    string  `json:"az"`
	Model   string  `json:"model"`
	Cell    int     `json:"pod_group"`
	State   string  `json:"state"` // a key of targetStates
	Weight  float64 `json:"capacity_hint"`
	BootMS  int64   `json:"boot_ms"` // start time of the endpoint's process, in Unix milliseconds
}

// targetStates maps the platform's names of endpoint states to the Balancer's.
var targetStates = map[string]decision.State{
	"Ready": decision.Ready, "Terminating": decision.Draining, "Gone": decision.Departed,
}

// Source is the origin of a list.
type Source int

// The sources of a list.
const (
	FromCache Source = iota // the last list of a previous process, from the configuration
	FromWatch               // a watch of the discovery service
	FromFetch               // a fetch of the full list
)

// A watch may deliver a full list that is older than the current one: because it took longer than a later fetch, because
// the discovery service has restarted its version count, or because one of its replicas lags. The loop then resyncs: it
// fetches the full list and accepts any version. Resyncs are rate-limited, so that a lagging replica does not cause a
// fetch for each list.
const (
	minResyncBackoff = 3 * time.Second  // initial pause between two resyncs; doubles with each delayed one
	maxResyncBackoff = 30 * time.Second // upper bound of the pause
)

// SwitchDiscovery follows the discovery service at another address and ignores the previous one from now on. The two
// services may number their versions differently, so the loop fetches the full list. The current list stays in use until
// that list arrives.
func (l *Loop) SwitchDiscovery(address string) { l.Post(func() { l.switchDiscovery(address) }) }

func (l *Loop) switchDiscovery(address string) {
	l.discovery.Stop()
	l.discovery, l.discoveryAddress = l.newDiscovery(address, l), address
	l.awaitingFullList = true
	l.discovery.Fetch()
	if l.config.Settings.PullDiscovery {
		// The Balancer restarts the watch after its own pause.
		l.balancer.Targets(l.now(), decision.List{Kind: decision.FailedList})
		return
	}
	l.discovery.Watch(nil)
}

// watchFrom returns the version after which a watch should start, or nil to start with the full list.
func (l *Loop) watchFrom() *uint64 {
	if l.awaitingFullList {
		return nil
	}
	rev := l.revision
	return &rev
}

// ListReceived handles a list from a discovery client. It ignores a client that the loop no longer follows.
func (l *Loop) ListReceived(from Discovery, list List, source Source) {
	if from == l.discovery {
		l.applyList(list, source)
	}
}

// ListFailed handles the failure of a discovery client to get a list. It ignores a client that the loop no longer follows.
func (l *Loop) ListFailed(from Discovery, err error) {
	if from != l.discovery {
		return
	}
	l.log.Warn("discovery.failed", zap.Error(err))
	l.balancer.Targets(l.now(), decision.List{Kind: decision.FailedList})
}

// applyList applies a list unless it is older than the current one, which would bring back endpoints that have departed.
func (l *Loop) applyList(list List, source Source) {
	versionsRestart := l.awaitingFullList
	switch {
	case l.awaitingFullList && !list.Full:
		return // changes relative to a list that the Balancer does not have
	case l.awaitingFullList:
		l.awaitingFullList = false
		if source == FromFetch && !l.config.Settings.PullDiscovery {
			// The loop ignored the changes that the watch delivered before this list. Watch again from its version.
			l.discovery.Stop()
			l.discovery.Watch(&list.Rev)
		}
	case source == FromFetch && list.Rev < l.revision:
		return
	case source == FromWatch && !list.Full && list.Rev <= l.revision:
		return
	case source == FromWatch && list.Rev < l.revision:
		l.resync()
		return
	}
	l.setList(list, source, versionsRestart)
}

// setList passes a list to the Balancer. It updates the endpoint table first, so that the attempts that the Balancer
// starts in response find their endpoints.
func (l *Loop) setList(list List, source Source, versionsRestart bool) {
	l.revision = list.Rev
	entries, retired := l.endpoints.update(list)
	for _, e := range retired {
		l.pool.closeIdle(e)
	}
	kind := decision.DeltaList
	switch {
	case source == FromCache:
		kind = decision.CachedList
	case list.Full:
		kind = decision.FullList
	}
	l.balancer.Targets(l.now(), decision.List{
		Kind:            kind,
		Version:         list.Rev,
		VersionsRestart: versionsRestart,
		Entries:         entries,
	})
	if source != FromCache || len(entries) > 0 {
		l.lifecycle.listReceived()
	}
}

// resync fetches the full list and accepts any version. Within resyncBackoff of the last resync it waits until the backoff
// has passed, and then skips the resync if another list was applied in the meantime.
func (l *Loop) resync() {
	if l.resyncPending {
		return
	}
	elapsed := time.Since(l.resyncAt)
	if elapsed < l.resyncBackoff {
		l.resyncPending = true
		discovery, revision := l.discovery, l.revision
		time.AfterFunc(l.resyncBackoff-elapsed, func() {
			l.Post(func() { l.resyncIfStale(discovery, revision) })
		})
		return
	}
	if elapsed > 2*maxResyncBackoff {
		l.resyncBackoff = minResyncBackoff
	}
	l.resyncAt = time.Now()
	l.switchDiscovery(l.discoveryAddress)
}

// resyncIfStale runs a delayed resync, unless the discovery client or the list revision has changed since it was scheduled.
func (l *Loop) resyncIfStale(discovery Discovery, revision uint64) {
	l.resyncPending = false
	if discovery != l.discovery || revision != l.revision {
		return
	}
	l.resyncBackoff = min(2*l.resyncBackoff, maxResyncBackoff)
	l.resyncAt = time.Now()
	l.switchDiscovery(l.discoveryAddress)
}
