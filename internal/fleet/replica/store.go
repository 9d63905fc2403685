package replica

import (
	"cmp"
	"time"
)

// Limits bounds the content of a store.
type Limits struct {
	MaxOrigins     int           // MaxOrigins bounds the number of origins whose facts are held.
	FactsPerOrigin int           // FactsPerOrigin bounds the number of facts of one origin; the newest are kept.
	TTL            time.Duration // TTL bounds the lifetime of a fact.
	MaxClockSkew   time.Duration // MaxClockSkew is the maximum time by which a stamp may be ahead of this broker's clock.
}

// maxNameBytes bounds the length of an origin's or a subject's name.
const maxNameBytes = 128

// Rejection is the reason why a fact was rejected; it is empty for a fact that was merged or already known. Its text is
// written to the log.
type Rejection string

// The reasons for a rejection.
const (
	Malformed Rejection = "malformed"
	Future    Rejection = "stamp from the future"
	Full      Rejection = "too many origins"
)

// register holds the newest known version of a fact.
type register struct {
	stamp     Stamp
	verdict   Verdict
	expiresAt time.Duration // on the caller's monotonic clock
	hash      uint64
}

// originFacts holds the registers of one origin.
type originFacts struct {
	bySubject map[string]register
	hash      uint64 // the XOR of the registers' hashes
}

// Store is one broker's copy of the facts. It is not safe for concurrent use: one goroutine owns it.
type Store struct {
	self    string
	limits  Limits
	origins map[string]*originFacts
	clock   Stamp  // the last stamp that was written or merged
	hash    uint64 // the XOR of the origins' hashes
	count   int
}

// New returns an empty store for the broker with the ID self.
func New(self string, limits Limits) *Store {
	return &Store{self: self, limits: limits, origins: map[string]*originFacts{}}
}

// Now is the time of an event on two clocks.
type Now struct {
	Mono time.Duration // Mono is the time on a monotonic clock, by which the lifetimes of facts are measured.
	Wall time.Time     // Wall is the time on the wall clock, which may be wrong. It is used only for stamps.
}

// Record stores a verdict of this broker and returns the fact to send. It returns false if the store already holds this
// verdict with more than half of its lifetime remaining.
func (s *Store) Record(now Now, subject string, verdict Verdict, ttl time.Duration) (Fact, bool) {
	ttl = min(ttl, s.limits.TTL)
	if own := s.origins[s.self]; own != nil {
		held, ok := own.bySubject[subject]
		if ok && held.verdict == verdict && held.expiresAt-now.Mono > ttl/2 {
			return Fact{}, false
		}
	}
	s.advanceClock(now)
	fact := Fact{Origin: s.self, Subject: subject, Stamp: s.clock, Verdict: verdict, Remaining: ttl}
	s.join(now, fact)
	return fact, true
}

// advanceClock sets the clock to the wall time, or increments its logical part if the wall time has not advanced.
func (s *Store) advanceClock(now Now) {
	if wall := now.Wall.UnixMilli(); wall > s.clock.Wall {
		s.clock = Stamp{Wall: wall}
		return
	}
	s.clock.Logical++
}

// Merge merges a received fact and reports whether it changed the store. A received fact whose origin is this broker was
// recorded by an earlier process; the stamps of this process follow it, and PeerEjections does not count it.
func (s *Store) Merge(now Now, fact Fact) (changed bool, rejection Rejection) {
	switch {
	case !s.isWellFormed(&fact):
		return false, Malformed
	case fact.Stamp.Wall > now.Wall.Add(s.limits.MaxClockSkew).UnixMilli():
		return false, Future
	case s.origins[fact.Origin] == nil && len(s.origins) >= s.limits.MaxOrigins:
		return false, Full
	}
	if fact.Stamp.Compare(s.clock) > 0 {
		s.clock = fact.Stamp // so that the stamps of this broker's next facts follow those of all received facts
	}
	return s.join(now, fact), ""
}

func (s *Store) isWellFormed(fact *Fact) bool {
	hasNames := fact.Origin != "" && fact.Subject != "" && len(fact.Origin) <= maxNameBytes && len(fact.Subject) <= maxNameBytes
	hasVerdict := fact.Verdict == Good || fact.Verdict == Bad
	return hasNames && hasVerdict && fact.Remaining > 0 && fact.Remaining <= s.limits.TTL
}

// join merges a fact into its register, and reports whether the register changed.
func (s *Store) join(now Now, fact Fact) bool {
	facts := s.origins[fact.Origin]
	if facts == nil {
		facts = &originFacts{bySubject: map[string]register{}}
		s.origins[fact.Origin] = facts
	}
	next := register{stamp: fact.Stamp, verdict: fact.Verdict, expiresAt: now.Mono + fact.Remaining, hash: fact.hash()}
	held, known := facts.bySubject[fact.Subject]
	switch {
	case known:
		order := cmp.Or(next.stamp.Compare(held.stamp), cmp.Compare(next.verdict, held.verdict))
		if order == 0 && next.expiresAt < held.expiresAt {
			// The same version with an earlier expiry: the store keeps the earlier one, but it is not worth sending.
			held.expiresAt = next.expiresAt
			facts.bySubject[fact.Subject] = held
		}
		if order <= 0 {
			return false
		}
		s.remove(facts, fact.Subject)
	case len(facts.bySubject) >= s.limits.FactsPerOrigin:
		if !s.evictOlder(facts, fact.Subject, next.stamp) {
			return false
		}
	}
	facts.bySubject[fact.Subject] = next
	facts.hash ^= next.hash
	s.hash ^= next.hash
	s.count++
	return true
}

// evictOlder removes the oldest fact of an origin to make room for a new fact. It returns false if the oldest fact is
// newer than the new one.
func (s *Store) evictOlder(facts *originFacts, subject string, stamp Stamp) bool {
	oldest, first := "", true
	for candidate, held := range facts.bySubject {
		order := held.stamp.Compare(facts.bySubject[oldest].stamp)
		if first || order < 0 || order == 0 && candidate < oldest {
			oldest, first = candidate, false
		}
	}
	order := facts.bySubject[oldest].stamp.Compare(stamp)
	if order > 0 || order == 0 && oldest > subject {
		return false
	}
	s.remove(facts, oldest)
	return true
}

func (s *Store) remove(facts *originFacts, subject string) {
	held := facts.bySubject[subject]
	delete(facts.bySubject, subject)
	facts.hash ^= held.hash
	s.hash ^= held.hash
	s.count--
}

// Expire removes the facts whose lifetime has ended, and returns their number.
func (s *Store) Expire(now Now) (expired int) {
	for id, facts := range s.origins {
		for subject, held := range facts.bySubject {
			if held.expiresAt <= now.Mono {
				s.remove(facts, subject)
				expired++
			}
		}
		if len(facts.bySubject) == 0 {
			delete(s.origins, id)
		}
	}
	return expired
}

// Len returns the number of facts in the store.
func (s *Store) Len() int { return s.count }
