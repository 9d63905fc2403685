package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// Discovery follows the list of endpoints. The loop calls its methods, which never block; what it receives goes to its
// sink, in the loop's goroutine.
type Discovery interface {
	// Watch begins to watch for changes after a version; nil asks for the full list first.
	Watch(since *uint64)
	// Stop ends the watch. What it has received and the loop has not yet taken is dropped.
	Stop()
	// Fetch gets the full list once, unless a fetch is under way.
	Fetch()
}

// Sink takes what a Discovery receives.
type Sink interface {
	// Post has the loop call a function.
	Post(func())
	// ListReceived takes a list, and ListFailed the failure to get one. They are called in the loop's goroutine and
	// ignore a discovery that is no longer followed.
	ListReceived(from Discovery, l List, how Source)
	ListFailed(from Discovery, err error)
}

// NewDiscovery makes the Discovery at an address.
type NewDiscovery func(address string, to Sink) Discovery

// List is an update of discovery's list of endpoints. Its JSON form is the platform's.
type List struct {
	Rev     uint64   `json:"rev"` // version
	Full    bool     `json:"all"` // all endpoints; else only those that changed
	Targets []Target `json:"targets"`
}

// Target is one line of a list. Its JSON form is the platform's.
type Target struct {
	UID     string  `json:"uid"`
	Address string  `json:"endpoint"`
	Zone    string  `json:"az"`
	Model   string  `json:"model"`
	Cell    int     `json:"pod_group"`
	State   string  `json:"state"` // see states
	Weight  float64 `json:"capacity_hint"`
	BootMS  int64   `json:"boot_ms"` // start of the process, in Unix milliseconds
}

// targetStates are the platform's names of the targetStates of a target.
var targetStates = map[string]decision.State{
	"Ready": decision.Ready, "Terminating": decision.Draining, "Gone": decision.Departed,
}

// Source is where a list came from.
type Source int

// The sources of a list.
const (
	FromCache Source = iota // this instance's own record
	FromWatch
	FromFetch
)

// A watch may bring a full list that is older than the one at hand: it was under way for longer than a fetch, or
// discovery has begun to count anew, or one of its replicas lags. Then the full list is fetched again whatever its
// version, but not again for minResyncBackoff; the pause doubles each time that this goes on, up to maxResyncBackoff.
const (
	minResyncBackoff = 3 * time.Second
	maxResyncBackoff = 30 * time.Second
)

// SwitchDiscovery follows the discovery at another address. Its versions may count otherwise, so its full list is
// fetched, and the old discovery is ignored from now on. The present list stands until the new one has come.
func (l *Loop) SwitchDiscovery(address string) { l.Post(func() { l.switchDiscovery(address) }) }

func (l *Loop) switchDiscovery(address string) {
	l.discovery.Stop()
	l.discovery, l.discoveryAddress = l.newDiscovery(address, l), address
	l.awaitingFullList = true
	l.discovery.Fetch()
	if l.config.Settings.PullDiscovery {
		// The Balancer watches again after a pause of its own.
		l.balancer.Targets(l.now(), decision.List{Kind: decision.FailedList})
		return
	}
	l.discovery.Watch(nil)
}

// watchFrom is the version after which a watch is to begin; nil for the full list.
func (l *Loop) watchFrom() *uint64 {
	if l.awaitingFullList {
		return nil
	}
	rev := l.revision
	return &rev
}

// ListReceived takes a list of the followed discovery.
func (l *Loop) ListReceived(from Discovery, got List, how Source) {
	if from == l.discovery {
		l.applyList(got, how)
	}
}

// ListFailed takes the failure of the followed discovery to get a list.
func (l *Loop) ListFailed(from Discovery, err error) {
	if from != l.discovery {
		return
	}
	l.log.Warn("discovery.failed", zap.Error(err))
	l.balancer.Targets(l.now(), decision.List{Kind: decision.FailedList})
}

// applyList applies a list, unless it is older than the present one: an endpoint that has left would come back.
func (l *Loop) applyList(got List, from Source) {
	versionsRestart := l.awaitingFullList
	switch {
	case l.awaitingFullList && !got.Full:
		return // changes of a list that the Balancer does not have
	case l.awaitingFullList:
		l.awaitingFullList = false
		if from == FromFetch && !l.config.Settings.PullDiscovery {
			// The watch may have brought changes before this list, which were ignored.
			l.discovery.Stop()
			l.discovery.Watch(&got.Rev)
		}
	case from == FromFetch && got.Rev < l.revision:
		return
	case from == FromWatch && !got.Full && got.Rev <= l.revision:
		return
	case from == FromWatch && got.Rev < l.revision:
		l.resync()
		return
	}
	l.setList(got, from, versionsRestart)
}

// setList hands a list to the Balancer. It updates the table of endpoints first, so that what the Balancer then sends
// finds its address.
func (l *Loop) setList(got List, from Source, versionsRestart bool) {
	l.revision = got.Rev
	entries, retired := l.endpoints.update(got)
	for _, e := range retired {
		l.pool.closeIdle(e)
	}
	kind := decision.DeltaList
	switch {
	case from == FromCache:
		kind = decision.CachedList
	case got.Full:
		kind = decision.FullList
	}
	l.balancer.Targets(l.now(), decision.List{
		Kind:            kind,
		Version:         got.Rev,
		VersionsRestart: versionsRestart,
		Entries:         entries,
	})
	if from != FromCache || len(entries) > 0 {
		l.lifecycle.listReceived()
	}
}

// resync gets the full list of the followed discovery whatever its version: at once or, within the pause after the last
// time, at the pause's end if nothing newer has come by then.
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

// resyncIfStale gets the full list if the discovery and the revision are still those of a time before.
func (l *Loop) resyncIfStale(discovery Discovery, revision uint64) {
	l.resyncPending = false
	if discovery != l.discovery || revision != l.revision {
		return
	}
	l.resyncBackoff = min(2*l.resyncBackoff, maxResyncBackoff)
	l.resyncAt = time.Now()
	l.switchDiscovery(l.discoveryAddress)
}
