package decision

import (
	"time"
)

// This file holds what an instance tells others of endpoints, and takes from them. Which word of others counts is
// decided elsewhere (package replica); here it can do no more than hasten a mark that own calls would come to.

// Evidence is what an instance knows of an endpoint by its own calls.
type Evidence struct {
	Endpoint EndpointID
	Ejected  bool          // it is isolated; otherwise it answered well
	Age      time.Duration // of the last answer of any kind, where it is not bad
}

// Advice is an endpoint that others have isolated.
type PeerEjection struct {
	Endpoint EndpointID
	Age      time.Duration // of the evidence
}

// evidenceFor is how long a good answer is evidence.
const evidenceMaxAge = 5 * time.Second

// Evidence is what this instance's own calls have shown lately: the endpoints that it has isolated by itself, and of
// those named the ones that answered well. An isolation on the word of others is none, until a trial of it failed.
func (b *Balancer) Evidence(now time.Duration, named []EndpointID) (all []Evidence) {
	for _, e := range b.ejected {
		if e.peerTrialBackoff == 0 || e.trialBackoff != e.peerTrialBackoff {
			all = append(all, Evidence{Endpoint: e.id, Ejected: true})
		}
	}
	for _, id := range named {
		e := b.byID[id]
		if e == nil || !e.indexed || e.state > stateSlowStart || e.lastAnswer == 0 || e.errorRate >= ejectErrorRate/2 {
			continue
		}
		if age := now - e.lastAnswer; age <= evidenceMaxAge {
			all = append(all, Evidence{Endpoint: id, Age: age})
		}
	}
	return all
}

// Advise takes the word of others, and tells how much of it changed anything. Own evidence decides: an endpoint that
// has answered this instance since is not marked, nor one that it does not call, as it would get no trial; the share of
// the list that may be isolated holds, and it gets its trials as any isolated one. That others are answered brings no
// trial forward: all instances' trials at once pushed servers over that had just returned cold (docs/REPLICATION.md).
func (b *Balancer) ApplyPeerEjections(now time.Duration, advice []PeerEjection) (heeded int) {
	if b.subsetStale && len(advice) > 0 {
		b.updateSubset() // who has had no request yet has no subset
	}
	for _, a := range advice {
		e := b.byID[a.Endpoint]
		if e == nil || e.subsetWeight == 0 || e.state > stateSlowStart || e.lastAnswer >= now-a.Age || !b.mayEject() {
			continue
		}
		b.eject(now, e, "by the word of others")
		e.peerTrialBackoff = e.trialBackoff
		heeded++
	}
	if heeded > 0 {
		b.dispatch(now)
		b.startTick()
	}
	return heeded
}
