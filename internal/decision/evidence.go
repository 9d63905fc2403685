package decision

import (
	"time"
)

// Evidence is what an instance knows of an endpoint by its own calls. Instances exchange it
// (internal/fleet/replication); which evidence of others counts is decided there.
type Evidence struct {
	Endpoint EndpointID
	Ejected  bool          // it is ejected; else it has answered well
	Age      time.Duration // of the last answer of any kind, where it is not ejected
}

// PeerEjection is an endpoint that other instances have ejected, by the evidence that the fleet accepts.
type PeerEjection struct {
	Endpoint EndpointID
	Age      time.Duration // of the evidence
}

// Evidence returns what this instance's own calls have shown lately: the endpoints that it has ejected by
// itself and, of those named, the ones that answered well. An ejection by other instances' evidence counts
// only once an own trial call has failed.
func (b *Balancer) Evidence(now time.Duration, named []EndpointID) (all []Evidence) {
	for _, e := range b.ejected {
		if e.peerTrialBackoff == 0 || e.trialBackoff != e.peerTrialBackoff {
			all = append(all, Evidence{Endpoint: e.id, Ejected: true})
		}
	}
	for _, id := range named {
		e := b.byID[id]
		if e == nil || !e.indexed || e.state > stateSlowStart {
			continue
		}
		if e.lastAnswer == 0 || e.errorRate >= ejectErrorRate/2 {
			continue
		}
		if age := now - e.lastAnswer; age <= evidenceMaxAge {
			all = append(all, Evidence{Endpoint: id, Age: age})
		}
	}
	return all
}

// ApplyPeerEjections ejects endpoints by the evidence of other instances, and returns how many it has
// ejected. It only hastens what own calls would come to: an endpoint that has answered here since is not
// ejected, nor one outside of the subset, which would get no trial call; the bound on ejected endpoints
// holds, and trial calls follow as for any other. Good answers elsewhere bring no trial call forward: all
// instances' trials at once pushed over endpoints that had just returned cold (docs/REPLICATION.md).
func (b *Balancer) ApplyPeerEjections(now time.Duration, ejections []PeerEjection) (ejected int) {
	if b.subsetStale && len(ejections) > 0 {
		b.updateSubset() // an instance without a request so far has none
	}
	for _, x := range ejections {
		e := b.byID[x.Endpoint]
		if e == nil || e.subsetWeight == 0 || e.state > stateSlowStart {
			continue
		}
		if e.lastAnswer >= now-x.Age || !b.mayEject() {
			continue
		}
		b.eject(now, e, "by the word of others")
		e.peerTrialBackoff = e.trialBackoff
		ejected++
	}
	if ejected > 0 {
		b.dispatch(now)
		b.startTick()
	}
	return ejected
}
