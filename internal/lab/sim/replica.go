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

// What a broker does with replicated state in virtual time: the store, the merge rule and what the word of others comes
// to are the program's own (package replica); this file is the gossip around them, as memberlist's: each interval some
// facts to a few others, each fact a bounded number of times.
const (
	gossipEvery  = 200 * time.Millisecond
	gossipNodes  = 3
	gossipMult   = 4  // times log10 of the brokers: how often a fact is sent on
	gossipMost   = 20 // facts in a message
	compareEvery = 25 // gossip intervals between two comparisons with another copy
	adviseEvery  = 5  // gossip intervals between two looks at what the facts come to
	factTTL      = 15 * time.Second
)

// The bounds are the defaults of [fleet.replication].
var (
	replicaRules  = replica.Rules{MinWitnesses: 2, MaxShareOfOrigin: 0.3, MaxShare: 0.2}
	replicaLimits = replica.Limits{MaxOrigins: 4096, FactsPerOrigin: 64, TTL: factTTL, MaxClockSkew: 10 * time.Second}
)

// mind is what a process holds of the replicated state.
type mind struct {
	store *replica.Store
	queue []rumour
	rng   *rand.Rand
	ticks int
}

type rumour struct {
	fact replica.Fact
	left int // times that it is still sent
}

func subject(id decision.EndpointID) string { return strconv.Itoa(int(id)) }

func endpointOf(subject string) decision.EndpointID {
	id, _ := strconv.Atoi(subject)
	return decision.EndpointID(id)
}

func (t *tiers) moment() replica.Now {
	now := t.w.Now()
	return replica.Now{Mono: now, Wall: time.Unix(0, 0).Add(now)}
}

// replicate has a process that begins take part.
func (s *seat) replicate() {
	if _, ok := s.policy.(*decision.Balancer); !ok || !s.t.w.S.Broker.Replicate {
		return
	}
	w := s.t.w
	s.mind = &mind{
		store: replica.New(strconv.Itoa(s.in.Ordinal), replicaLimits),
		rng:   model.Stream(w.Seed(s.in), "replica", int(s.lives)),
	}
	if s.lives > 1 { // it joins a fleet that is there: a peer tells it what it holds
		w.After(2*w.Latency(), func() {
			peer := s.peer()
			if s.dead || peer == nil {
				return
			}
			s.hear(peer.mind.store.Facts(s.t.moment()))
		})
	}
	w.After(time.Duration(s.mind.rng.Int64N(int64(gossipEvery))), s.gossip)
}

// peer is another process of the tier, drawn.
func (s *seat) peer() *seat {
	all := s.in.Tier.Instances
	for range gossipNodes {
		if p := s.t.instances[all[s.mind.rng.IntN(len(all))].N]; p.seat != nil && p.seat != s && p.seat.mind != nil {
			return p.seat
		}
	}
	return nil
}

// hear takes facts in, and has those that are news sent on.
func (s *seat) hear(facts []replica.Fact) {
	for _, f := range facts {
		if news, _ := s.mind.store.Merge(s.t.moment(), f); news {
			s.tell(f)
			s.t.spread(f, len(s.in.Tier.Instances))
		}
	}
}

// compare has a peer send what this copy lacks, and takes what the peer lacks to it.
func (s *seat) compare() {
	w, p := s.t.w, s.peer()
	if p == nil {
		return
	}
	w.After(w.Latency(), func() {
		if s.dead || p.dead {
			return
		}
		now := s.t.moment()
		lacks, has := p.mind.store.Differing(now, s.mind.store.Summary()), s.mind.store.Differing(now, p.mind.store.Summary())
		w.Result.Replicated += len(lacks) + len(has)
		w.After(w.Latency(), func() {
			if !s.dead && !p.dead {
				s.hear(lacks)
				p.hear(has)
			}
		})
	})
}

// spread is how far a fact has come.
type spread struct {
	at time.Duration // when it was written
	to int           // brokers that hold it
}

// spreadAt is the share of the brokers that a fact has spread at.
const spreadAt = 0.99

// spread counts one more broker that holds a fact, of so many in its tier.
func (t *tiers) spread(f replica.Fact, of int) {
	x := t.spreads[f.Key()]
	if x == nil {
		return // it has spread
	}
	if x.to++; float64(x.to) >= spreadAt*float64(of) {
		t.w.Result.Spread = append(t.w.Result.Spread, (t.w.Now() - x.at).Seconds())
		delete(t.spreads, f.Key())
	}
}

func (s *seat) tell(f replica.Fact) {
	times := gossipMult * int(math.Ceil(math.Log10(float64(len(s.in.Tier.Instances)+1))))
	for i, r := range s.mind.queue {
		if r.fact.Origin == f.Origin && r.fact.Subject == f.Subject { // it takes an older one's place
			s.mind.queue[i] = rumour{f, times}
			return
		}
	}
	s.mind.queue = append(s.mind.queue, rumour{f, times})
}

// gossip is one interval: what this broker has found out goes into its own registers, what is news goes on, and now and
// then the word of others is looked at.
func (s *seat) gossip() {
	if s.dead || s.seat != s {
		return
	}
	w, m, b := s.t.w, s.mind, s.policy.(*decision.Balancer)
	now := s.t.moment()
	m.store.Expire(now)
	var disputed []decision.EndpointID
	for _, name := range m.store.Disputed(now) {
		disputed = append(disputed, endpointOf(name))
	}
	for _, e := range b.Evidence(w.Now(), disputed) {
		word := replica.Good
		if e.Ejected {
			word = replica.Bad
		}
		if f, news := m.store.Record(now, subject(e.Endpoint), word, factTTL); news {
			s.t.spreads[f.Key()] = &spread{at: w.Now(), to: 1}
			s.tell(f)
		}
	}
	// Those that were sent least come first, as in memberlist's queue: in a storm of facts each gets some way at once.
	slices.SortStableFunc(m.queue, func(a, b rumour) int { return cmp.Compare(b.left, a.left) })
	if n := min(len(m.queue), gossipMost); n > 0 {
		for range gossipNodes {
			if p := s.peer(); p != nil {
				facts := make([]replica.Fact, 0, n)
				for i := range m.queue[:n] {
					facts = append(facts, m.queue[i].fact)
					m.queue[i].left--
				}
				w.Result.Replicated += len(facts)
				w.After(w.Latency(), func() {
					if !p.dead {
						p.hear(facts)
					}
				})
			}
		}
		kept := m.queue[:0]
		for _, r := range m.queue {
			if r.left > 0 {
				kept = append(kept, r)
			}
		}
		m.queue = kept
	}
	if m.ticks++; m.ticks%compareEvery == 0 {
		s.compare()
	}
	if m.ticks%adviseEvery == 0 {
		var advice []decision.PeerEjection
		rules := replicaRules
		rules.MinWitnesses = cmp.Or(w.S.Broker.Witnesses, rules.MinWitnesses)
		for _, a := range m.store.Advise(now, len(s.in.Tier.Servers), rules) {
			advice = append(advice, decision.PeerEjection{Endpoint: endpointOf(a.Subject), Age: a.Age})
		}
		w.Result.Heeded += b.ApplyPeerEjections(w.Now(), advice)
	}
	w.After(gossipEvery, s.gossip)
}
