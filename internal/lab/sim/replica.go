package sim

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"dykering/internal/decision"
	"dykering/internal/fleet/replica"
	"dykering/internal/lab/model"
)

// This file implements replicated state in virtual time. The store, the merge rule and the rules for
// peer ejections are the program's own (package replica); the gossip between instances is simulated here. As in memberlist, at each
// interval some facts are sent to a few random peers, and each fact is sent a limited number of times.
const (
	gossipInterval = 200 * time.Millisecond
	// gossipFanout is the number of peers that receive facts at each interval.
	gossipFanout = 3
	// retransmitMultiplier, times the decimal logarithm of the number of instances, is the number of times
	// that an instance sends a fact.
	retransmitMultiplier = 4
	maxFactsPerMessage   = 20
	// synchronizeIntervals is the number of gossip intervals between two synchronizations with a peer.
	synchronizeIntervals = 25
	// ejectionIntervals is the number of gossip intervals between two applications of peer ejections.
	ejectionIntervals = 5
	// factTTL is the time after which a fact expires.
	factTTL = 15 * time.Second
)

// replicaRules and replicaLimits are the defaults of the settings in [fleet.replication].
var (
	replicaRules  = replica.EjectionRules{MinWitnesses: 2, MaxShareOfOrigin: 0.3, MaxShare: 0.2}
	replicaLimits = replica.Limits{MaxOrigins: 4096, FactsPerOrigin: 64, TTL: factTTL, MaxClockSkew: 10 * time.Second}
)

// replicatedState is the replica of the shared facts in one process.
type replicatedState struct {
	store     *replica.Store
	queue     []queuedFact
	random    *rand.Rand
	intervals int // gossip intervals so far
}

// queuedFact is a fact that waits to be sent by gossip.
type queuedFact struct {
	fact           replica.Fact
	remainingSends int
}

// subject returns the name of an endpoint in facts.
func subject(id decision.EndpointID) string { return strconv.Itoa(int(id)) }

// endpointOf returns the endpoint that a fact's subject names.
func endpointOf(subject string) decision.EndpointID {
	id, _ := strconv.Atoi(subject)
	return decision.EndpointID(id)
}

// replicaNow returns the virtual time in the form that package replica uses.
func (b *brokers) replicaNow() replica.Now {
	now := b.world.Now()
	return replica.Now{Mono: now, Wall: time.Unix(0, 0).Add(now)}
}

// startReplication starts replication, if the scenario enables it.
func (p *process) startReplication() {
	if _, ok := p.policy.(*decision.Balancer); !ok || !p.brokers.world.Scenario.Broker.Replicate {
		return
	}
	w := p.brokers.world
	p.replicated = &replicatedState{
		store:  replica.New(strconv.Itoa(p.model.Ordinal), replicaLimits),
		random: model.Stream(w.Seed(p.model), "replica", int(p.incarnation)),
	}
	if p.incarnation > 1 { // the process joins a running fleet and starts with the facts of a peer
		w.After(2*w.Latency(), func() {
			peer := p.randomPeer()
			if p.dead || peer == nil {
				return
			}
			p.merge(peer.replicated.store.Facts(p.brokers.replicaNow()))
		})
	}
	w.After(time.Duration(p.replicated.random.Int64N(int64(gossipInterval))), p.gossip)
}

// randomPeer returns a random other process of the tier, or nil if gossipFanout draws find none.
func (p *process) randomPeer() *process {
	all := p.model.Tier.Instances
	for range gossipFanout {
		peer := p.brokers.instances[all[p.replicated.random.IntN(len(all))].Index].current
		if peer != nil && peer != p && peer.replicated != nil {
			return peer
		}
	}
	return nil
}

// merge merges facts of a peer, and queues those that changed the replica for gossip.
func (p *process) merge(facts []replica.Fact) {
	for _, f := range facts {
		if changed, _ := p.replicated.store.Merge(p.brokers.replicaNow(), f); changed {
			p.enqueue(f)
			p.brokers.recordHolder(f, len(p.model.Tier.Instances))
		}
	}
}

// synchronize exchanges the facts that differ with a random peer (anti-entropy).
func (p *process) synchronize() {
	w, peer := p.brokers.world, p.randomPeer()
	if peer == nil {
		return
	}
	w.After(w.Latency(), func() {
		if p.dead || peer.dead {
			return
		}
		now := p.brokers.replicaNow()
		missingHere := peer.replicated.store.Differing(now, p.replicated.store.Summary())
		missingThere := p.replicated.store.Differing(now, peer.replicated.store.Summary())
		w.Result.FactsSent += len(missingHere) + len(missingThere)
		w.After(w.Latency(), func() {
			if !p.dead && !peer.dead {
				p.merge(missingHere)
				peer.merge(missingThere)
			}
		})
	})
}

// propagation records how many instances hold a fact.
type propagation struct {
	// writtenAt is the time at which the fact was first recorded.
	writtenAt time.Duration
	// holders is the number of instances that hold the fact.
	holders int
}

// propagatedShare is the share of a tier's instances that must hold a fact for it to count as propagated.
const propagatedShare = 0.99

// recordHolder counts one more instance that holds a fact, in a tier with a number of instances.
func (b *brokers) recordHolder(f replica.Fact, instances int) {
	x := b.propagations[f.Key()]
	if x == nil {
		return // the fact has already propagated
	}
	if x.holders++; float64(x.holders) >= propagatedShare*float64(instances) {
		b.world.Result.PropagationSeconds = append(b.world.Result.PropagationSeconds, (b.world.Now() - x.writtenAt).Seconds())
		delete(b.propagations, f.Key())
	}
}

// enqueue queues a fact for gossip. It replaces an older fact of the same origin about the same subject.
func (p *process) enqueue(f replica.Fact) {
	times := retransmitMultiplier * int(math.Ceil(math.Log10(float64(len(p.model.Tier.Instances)+1))))
	for i, r := range p.replicated.queue {
		if r.fact.Origin == f.Origin && r.fact.Subject == f.Subject {
			p.replicated.queue[i] = queuedFact{f, times}
			return
		}
	}
	p.replicated.queue = append(p.replicated.queue, queuedFact{f, times})
}

// gossip does the work of one gossip interval. It records new evidence of the balancer and sends queued facts.
// At longer intervals it also synchronizes the replica with a peer and applies peer ejections.
func (p *process) gossip() {
	if p.dead || p.current != p {
		return
	}
	w, m, b := p.brokers.world, p.replicated, p.policy.(*decision.Balancer)
	now := p.brokers.replicaNow()
	m.store.Expire(now)
	var disputed []decision.EndpointID
	for _, name := range m.store.ReportedBad(now) {
		disputed = append(disputed, endpointOf(name))
	}
	for _, e := range b.Evidence(w.Now(), disputed) {
		verdict := replica.Good
		if e.Ejected {
			verdict = replica.Bad
		}
		if f, changed := m.store.Record(now, subject(e.Endpoint), verdict, factTTL); changed {
			p.brokers.propagations[f.Key()] = &propagation{writtenAt: w.Now(), holders: 1}
			p.enqueue(f)
		}
	}
	// As in memberlist's queue, the facts that were sent least often come first. Otherwise some would never be
	// sent if there are many.
	slices.SortStableFunc(m.queue, func(a, b queuedFact) int { return cmp.Compare(b.remainingSends, a.remainingSends) })
	if n := min(len(m.queue), maxFactsPerMessage); n > 0 {
		for range gossipFanout {
			if peer := p.randomPeer(); peer != nil {
				facts := make([]replica.Fact, 0, n)
				for i := range m.queue[:n] {
					facts = append(facts, m.queue[i].fact)
					m.queue[i].remainingSends--
				}
				w.Result.FactsSent += len(facts)
				w.After(w.Latency(), func() {
					if !peer.dead {
						peer.merge(facts)
					}
				})
			}
		}
		kept := m.queue[:0]
		for _, r := range m.queue {
			if r.remainingSends > 0 {
				kept = append(kept, r)
			}
		}
		m.queue = kept
	}
	if m.intervals++; m.intervals%synchronizeIntervals == 0 {
		p.synchronize()
	}
	if m.intervals%ejectionIntervals == 0 {
		var ejections []decision.PeerEjection
		rules := replicaRules
		rules.MinWitnesses = cmp.Or(w.Scenario.Broker.MinWitnesses, rules.MinWitnesses)
		for _, a := range m.store.PeerEjections(now, len(p.model.Tier.Servers), rules) {
			ejections = append(ejections, decision.PeerEjection{Endpoint: endpointOf(a.Subject), Age: a.Age})
		}
		w.Result.AppliedAdvice += b.ApplyPeerEjections(w.Now(), ejections)
	}
	w.After(gossipInterval, p.gossip)
}
