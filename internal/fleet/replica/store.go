package replica

import (
	"cmp"
	"time"
)

// Limits bound a store.
type Limits struct {
	MaxOrigins     int           // MaxOrigins bounds the origins whose facts are held.
	FactsPerOrigin int           // FactsPerOrigin bounds the facts of one origin; of more, the newest are held.
	TTL            time.Duration // TTL bounds the lifetime of a fact.
	MaxClockSkew   time.Duration // MaxClockSkew is how far ahead of this broker's clock a stamp may be.
}

// maxNameBytes bounds the name of an origin or a subject.
const maxNameBytes = 128

// Rejection is why a fact was not merged; empty for one that was, or was known. Its text is in the log.
type Rejection string

// The rejections.
const (
	Malformed Rejection = "malformed"
	Future    Rejection = "stamp from the future"
	Full      Rejection = "too many origins"
)

// register is the newest known version of a fact.
type register struct {
	stamp     Stamp
	verdict   Verdict
	expiresAt time.Duration // on the caller's monotonic clock
	hash      uint64
}

// originFacts are the registers of one origin.
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

// New returns an empty store of a broker.
func New(self string, limits Limits) *Store {
	return &Store{self: self, limits: limits, origins: map[string]*originFacts{}}
}

// Now is the time of an event.
type Now struct {
	Mono time.Duration // Mono is monotonic: lifetimes end by it.
	Wall time.Time     // Wall may be wrong: it is for stamps alone.
}

// Record writes this broker's own verdict, and returns the fact to be sent; false where it is already held with at least
// half of the lifetime.
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

func (s *Store) advanceClock(now Now) {
	if wall := now.Wall.UnixMilli(); wall > s.clock.Wall {
		s.clock = Stamp{Wall: wall}
		return
	}
	s.clock.Logical++
}

// Merge joins a received fact, and reports whether it was news. A fact under this broker's own name is an earlier
// process's: this process writes after it, and Advise does not count it.
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
		s.clock = fact.Stamp // so that this broker's next facts come after all that it has received
	}
	return s.join(now, fact), ""
}

func (s *Store) isWellFormed(fact *Fact) bool {
	hasNames := fact.Origin != "" && fact.Subject != "" && len(fact.Origin) <= maxNameBytes && len(fact.Subject) <= maxNameBytes
	hasVerdict := fact.Verdict == Good || fact.Verdict == Bad
	return hasNames && hasVerdict && fact.Remaining > 0 && fact.Remaining <= s.limits.TTL
}

// join joins a fact into its register, and reports whether it is news.
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
			// The same version with an earlier end: the earlier end holds, and is not worth sending.
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

// evictOlder removes the oldest fact of an origin to make room, unless that is newer than the one to come.
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

// Expire removes facts whose lifetime has ended, and returns how many.
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

// Len returns the number of facts.
func (s *Store) Len() int { return s.count }
