package decision

import (
	"time"
)

// Evidence is what an instance has learned about an endpoint from its own calls. Instances exchange it
// through internal/fleet/replication, which decides which evidence of other instances is accepted.
type Evidence struct {
	Endpoint EndpointID
	Ejected  bool          // true: the endpoint is ejected; false: it has answered without errors
	Age      time.Duration // age of the last answer of any kind; 0 if the endpoint is ejected
}

// PeerEjection is an endpoint that other instances have ejected, on evidence that the fleet accepts.
type PeerEjection struct {
	Endpoint EndpointID
	Age      time.Duration // age of the evidence
}

// Evidence returns what this instance has recently learned from its own calls: all endpoints that it has
// ejected, and those of the candidates that have answered without errors. An endpoint that was ejected on the
// evidence of other instances is included only after a trial call of this instance has failed.
func (b *Balancer) Evidence(now time.Duration, candidates []EndpointID) (evidence []Evidence) {
	for _, e := range b.ejected {
		if e.peerTrialBackoff == 0 || e.trialBackoff != e.peerTrialBackoff {
			evidence = append(evidence, Evidence{Endpoint: e.id, Ejected: true})
		}
	}
	for _, id := range candidates {
		e := b.byID[id]
		if e == nil || !e.indexed || e.state > stateSlowStart {
			continue
		}
		if e.lastAnswer == 0 || e.errorRate >= ejectErrorRate/2 {
			continue
		}
		if age := now - e.lastAnswer; age <= evidenceMaxAge {
			evidence = append(evidence, Evidence{Endpoint: id, Age: age})
		}
	}
	return evidence
}

// ApplyPeerEjections ejects endpoints on the evidence of other instances and returns how many it has ejected.
// The evidence only hastens an ejection that calls of this instance would cause later. The function skips an
// endpoint that has answered this instance since, and one outside of the subset, because that would get no
// trial call. The limit on the share of ejected endpoints and the schedule of trial calls apply as to any
// other ejection. Good answers at other instances do not advance a trial call: trial calls of all instances
// at the same time overloaded endpoints that had just returned and were cold.
func (b *Balancer) ApplyPeerEjections(now time.Duration, ejections []PeerEjection) (ejected int) {
	if b.subsetStale && len(ejections) > 0 {
		b.updateSubset() // the subset may not exist yet, if no request has arrived so far
	}
	for _, ejection := range ejections {
		e := b.byID[ejection.Endpoint]
		if e == nil || e.subsetWeight == 0 || e.state > stateSlowStart {
			continue
		}
		if e.lastAnswer >= now-ejection.Age || !b.mayEject() {
			continue
		}
		b.eject(now, e, reasonPeerEvidence)
		e.peerTrialBackoff = e.trialBackoff
		ejected++
	}
	if ejected > 0 {
		b.dispatch(now)
		b.startTick()
	}
	return ejected
}
