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

// Replicated state in virtual time: the store, the merge rule and the advice are the program's own (package
// replica); this file carries the gossip between instances.
const (
	// Gossip follows memberlist: at each interval some facts are sent to a few random peers, and each
	// fact a limited number of times.
	gossipInterval = 200 * time.Millisecond
	gossipFanout   = 3
	// Times the decimal logarithm of the number of instances: how often a fact is sent on.
	retransmitMultiplier = 4
	maxFactsPerMessage   = 20
	// Gossip intervals between two synchronizations with a peer.
	synchronizeIntervals = 25
	// Gossip intervals between two evaluations of the facts.
	adviseIntervals = 5
	factTTL         = 15 * time.Second
)

// The bounds are the defaults of [fleet.replication].
var (
	// The limits are the defaults of [fleet.replication].
	replicaRules  = replica.EjectionRules{MinWitnesses: 2, MaxShareOfOrigin: 0.3, MaxShare: 0.2}
	replicaLimits = replica.Limits{MaxOrigins: 4096, FactsPerOrigin: 64, TTL: factTTL, MaxClockSkew: 10 * time.Second}
)

// replicatedState is a process's replica of the shared facts.
type replicatedState struct {
	store     *replica.Store
	queue     []queuedFact
	random    *rand.Rand
	intervals int
}

// queuedFact is a fact to be sent on.
type queuedFact struct {
	fact           replica.Fact
	remainingSends int
}

func subject(id decision.EndpointID) string { return strconv.Itoa(int(id)) }

func endpointOf(subject string) decision.EndpointID {
	id, _ := strconv.Atoi(subject)
	return decision.EndpointID(id)
}

func (t *brokers) replicaNow() replica.Now {
	now := t.world.Now()
	return replica.Now{Mono: now, Wall: time.Unix(0, 0).Add(now)}
}

// startReplication begins replication, where the scenario asks for it.
func (s *process) startReplication() {
	if _, ok := s.policy.(*decision.Balancer); !ok || !s.brokers.world.Scenario.Broker.Replicate {
		return
	}
	w := s.brokers.world
	s.replicated = &replicatedState{
		store:  replica.New(strconv.Itoa(s.model.Ordinal), replicaLimits),
		random: model.Stream(w.Seed(s.model), "replica", int(s.incarnation)),
	}
	if s.incarnation > 1 { // it joins a running fleet and starts with the facts of a peer
		w.After(2*w.Latency(), func() {
			peer := s.randomPeer()
			if s.dead || peer == nil {
				return
			}
			s.merge(peer.replicated.store.Facts(s.brokers.replicaNow()))
		})
	}
	w.After(time.Duration(s.replicated.random.Int64N(int64(gossipInterval))), s.gossip)
}

// randomPeer draws another process of the tier, nil where none was found.
func (s *process) randomPeer() *process {
	all := s.model.Tier.Instances
	for range gossipFanout {
		if p := s.brokers.instances[all[s.replicated.random.IntN(len(all))].Index]; p.current != nil && p.current != s && p.current.replicated != nil {
			return p.current
		}
	}
	return nil
}

// merge merges facts of a peer and queues those that changed the replica.
func (s *process) merge(facts []replica.Fact) {
	for _, f := range facts {
		if changed, _ := s.replicated.store.Merge(s.brokers.replicaNow(), f); changed {
			s.enqueue(f)
			s.brokers.recordHolder(f, len(s.model.Tier.Instances))
		}
	}
}

// synchronize exchanges with a random peer the facts that either replica lacks (anti-entropy).
func (s *process) synchronize() {
	w, p := s.brokers.world, s.randomPeer()
	if p == nil {
		return
	}
	w.After(w.Latency(), func() {
		if s.dead || p.dead {
			return
		}
		now := s.brokers.replicaNow()
		missingHere, missingThere := p.replicated.store.Differing(now, s.replicated.store.Summary()), s.replicated.store.Differing(now, p.replicated.store.Summary())
		w.Result.FactsSent += len(missingHere) + len(missingThere)
		w.After(w.Latency(), func() {
			if !s.dead && !p.dead {
				s.merge(missingHere)
				p.merge(missingThere)
			}
		})
	})
}

// propagation measures how far a fact has spread.
type propagation struct {
	// When it was recorded first.
	writtenAt time.Duration
	// Instances that hold it.
	holders int
}

// propagatedShare is the share of a tier's instances at which a fact counts as propagated.
const propagatedShare = 0.99

// recordHolder counts one more instance that holds a fact, of so many in its tier.
func (t *brokers) recordHolder(f replica.Fact, of int) {
	x := t.propagations[f.Key()]
	if x == nil {
		return // it has propagated already
	}
	if x.holders++; float64(x.holders) >= propagatedShare*float64(of) {
		t.world.Result.PropagationSeconds = append(t.world.Result.PropagationSeconds, (t.world.Now() - x.writtenAt).Seconds())
		delete(t.propagations, f.Key())
	}
}

// enqueue queues a fact for gossip, in place of an older one about the same subject.
func (s *process) enqueue(f replica.Fact) {
	times := retransmitMultiplier * int(math.Ceil(math.Log10(float64(len(s.model.Tier.Instances)+1))))
	for i, r := range s.replicated.queue {
		if r.fact.Origin == f.Origin && r.fact.Subject == f.Subject { // it replaces an older one
			s.replicated.queue[i] = queuedFact{f, times}
			return
		}
	}
	s.replicated.queue = append(s.replicated.queue, queuedFact{f, times})
}

// gossip is one gossip interval: new evidence of the balancer is recorded, queued facts are sent,
// and from time to time the replica is synchronized and its advice applied.
func (s *process) gossip() {
	if s.dead || s.current != s {
		return
	}
	w, m, b := s.brokers.world, s.replicated, s.policy.(*decision.Balancer)
	now := s.brokers.replicaNow()
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
			s.brokers.propagations[f.Key()] = &propagation{writtenAt: w.Now(), holders: 1}
			s.enqueue(f)
		}
	}
	// Facts that were sent least come first, as in memberlist's queue, so that each makes progress when there
	// are many.
	slices.SortStableFunc(m.queue, func(a, b queuedFact) int { return cmp.Compare(b.remainingSends, a.remainingSends) })
	if n := min(len(m.queue), maxFactsPerMessage); n > 0 {
		for range gossipFanout {
			if p := s.randomPeer(); p != nil {
				facts := make([]replica.Fact, 0, n)
				for i := range m.queue[:n] {
					facts = append(facts, m.queue[i].fact)
					m.queue[i].remainingSends--
				}
				w.Result.FactsSent += len(facts)
				w.After(w.Latency(), func() {
					if !p.dead {
						p.merge(facts)
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
		s.synchronize()
	}
	if m.intervals%adviseIntervals == 0 {
		var advice []decision.PeerEjection
		rules := replicaRules
		rules.MinWitnesses = cmp.Or(w.Scenario.Broker.MinWitnesses, rules.MinWitnesses)
		for _, a := range m.store.PeerEjections(now, len(s.model.Tier.Servers), rules) {
			advice = append(advice, decision.PeerEjection{Endpoint: endpointOf(a.Subject), Age: a.Age})
		}
		w.Result.AppliedAdvice += b.ApplyPeerEjections(w.Now(), advice)
	}
	w.After(gossipInterval, s.gossip)
}
