package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// Discovery tells which endpoints there are. The loop calls its methods, that never wait; what it brings goes to its
// sink, in the loop's own time.
type Discovery interface {
	// Watch begins to watch for what changes after a version; nil asks for the whole list first.
	Watch(since *uint64)
	// Stop ends the watch: nothing that it brought and that the loop has not yet taken counts.
	Stop()
	// Fetch gets the whole list once, unless that is under way.
	Fetch()
}

// Sink takes what a Discovery brings.
type Sink interface {
	// Post has the loop call a function.
	Post(func())
	// Listed and ListFailed are called in the loop. They pass over what is not of the discovery that is followed.
	ListReceived(from Discovery, l List, how Source)
	ListFailed(from Discovery, err error)
}

// Discover makes the Discovery at an address.
type NewDiscovery func(address string, to Sink) Discovery

// List is discovery's list of endpoints, whole or what changed.
type List struct {
	Rev     uint64   `json:"rev"`
	Full    bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is one line of a list.
type Target struct {
	UID     string  `json:"uid"`
	Address string  `json:"endpoint"`
	Zone    string  `json:"az"`
	Model   string  `json:"model"`
	Cell    int     `json:"pod_group"`
	State   string  `json:"state"`
	Weight  float64 `json:"capacity_hint"`
	BootMS  int64   `json:"boot_ms"`
}

var states = map[string]decision.State{
	"Ready": decision.Ready, "Terminating": decision.Draining, "Gone": decision.Departed,
}

// Source is where a list came from.
type Source int

const (
	FromCache Source = iota
	FromWatch
	FromFetch
)

// Follow turns to the discovery at another address. Its versions may count otherwise, so its whole list is
// asked for, and nothing that the old one still says is heard. Until that comes, the list stays as it is.
func (l *Loop) SwitchDiscovery(address string) { l.Post(func() { l.switchDiscovery(address) }) }

func (l *Loop) switchDiscovery(address string) {
	l.discovery.Stop()
	l.discovery, l.discoveryAddress = l.newDiscovery(address, l), address
	l.awaitingFullList = true
	l.discovery.Fetch()
	if l.config.Settings.PullDiscovery {
		l.balancer.Targets(l.now(), decision.List{Kind: decision.FailedList}) // it watches in its own time
		return
	}
	l.discovery.Watch(nil)
}

// place is where a watch goes on from: the version of the list, nil for the whole list.
func (l *Loop) watchFrom() *uint64 {
	if l.awaitingFullList {
		return nil
	}
	rev := l.revision
	return &rev
}

// Listed takes what the discovery that is followed says.
func (l *Loop) ListReceived(from Discovery, got List, how Source) {
	if from == l.discovery {
		l.applyList(got, how)
	}
}

// ListFailed takes its word that it could not be asked.
func (l *Loop) ListFailed(from Discovery, err error) {
	if from != l.discovery {
		return
	}
	l.log.Warn("discovery.failed", zap.Error(err))
	l.balancer.Targets(l.now(), decision.List{Kind: decision.FailedList})
}

// targets takes a list in, first into the table of endpoints, so that what the Balancer then sends finds
// its address.
func (l *Loop) applyList(got List, from Source) {
	anew := l.awaitingFullList
	switch {
	case l.awaitingFullList && !got.Full:
		return // changes to a list that the Balancer has not got
	case l.awaitingFullList:
		l.awaitingFullList = false
		if from == FromFetch && !l.config.Settings.PullDiscovery {
			// The watch may have brought changes before this list, that were passed over.
			l.discovery.Stop()
			l.discovery.Watch(&got.Rev)
		}
	case from == FromFetch && got.Rev < l.revision || from == FromWatch && !got.Full && got.Rev <= l.revision:
		return // older than what the Balancer has: an endpoint that left would come back
	case from == FromWatch && got.Rev < l.revision:
		// It was under way for longer than a fetch, or discovery has begun to count anew: what is asked for now tells.
		l.resync()
		return
	}
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
	l.balancer.Targets(l.now(), decision.List{Kind: kind, Version: got.Rev, VersionsRestart: anew, Entries: entries})
	if from != FromCache || len(entries) > 0 {
		l.lifecycle.listReceived()
	}
}

// askAnew asks discovery for its whole list, whatever its version: at once, or, where that was done a short while ago,
// when the pause is over and nothing newer has come. Where a copy of discovery lags, an older list comes each time.
func (l *Loop) resync() {
	switch since := time.Since(l.resyncAt); {
	case l.resyncPending:
	case since < l.resyncBackoff:
		l.resyncPending = true
		from, rev := l.discovery, l.revision
		time.AfterFunc(l.resyncBackoff-since, func() {
			l.Post(func() {
				if l.resyncPending = false; from == l.discovery && rev == l.revision {
					l.resyncBackoff = min(2*l.resyncBackoff, resyncBackoffMax)
					l.resyncAt = time.Now()
					l.switchDiscovery(l.discoveryAddress)
				}
			})
		})
	default:
		if since > 2*resyncBackoffMax {
			l.resyncBackoff = resyncBackoffMin
		}
		l.resyncAt = time.Now()
		l.switchDiscovery(l.discoveryAddress)
	}
}
