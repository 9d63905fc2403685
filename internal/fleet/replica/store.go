// Package replica is the state that the brokers of a fleet replicate: what each has found out about servers by its own
// calls. It is advice and no ledger: a fact lost or late costs a moment of service, never a rule. The package holds the
// merge rule, the catch-up by digests and what the facts of others come to; it does no I/O and reads no clock.
//
// The state is a map of registers, one for each origin and subject, that the origin alone writes. A register's join is
// the greater of two in one total order (stamp, then word, then the earlier end), so that merging is commutative,
// associative and idempotent, and copies that have heard the same facts in any order are the same. Two brokers that
// differ about a server have two registers; what that means is for Advise.
package replica

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Word is what a fact says of its subject.
type Word uint8

const (
	Good Word = 1 // it answered the origin well
	Bad  Word = 2 // the origin has isolated it
)

// Stamp orders the facts of one origin: a hybrid logical clock (Kulkarni and others, 2014), so that a new process
// whose wall clock was set back still writes after the old one.
type Stamp struct {
	Wall    int64  `codec:"w" json:"wall"` // milliseconds of Unix time
	Logical uint32 `codec:"l" json:"logical"`
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// Fact is one register. Left is how much longer it holds: ages travel, not times, as clocks differ.
type Fact struct {
	Origin  string        `codec:"o" json:"origin"`
	Subject string        `codec:"s" json:"subject"` // a server: its uid and start
	Stamp   Stamp         `codec:"t" json:"stamp"`
	Word    Word          `codec:"k" json:"word"`
	Left    time.Duration `codec:"f" json:"left"`
}

// Key names one writing of a register.
func (f Fact) Key() string {
	return fmt.Sprintf("%s\x00%s\x00%d.%d", f.Origin, f.Subject, f.Stamp.Wall, f.Stamp.Logical)
}

// Limits bound the store.
type Limits struct {
	Origins   int           // whose facts are held at most
	PerOrigin int           // facts of one origin; of more, the newest are held
	TTL       time.Duration // no fact holds for longer
	Ahead     time.Duration // how far ahead of this broker's clock a stamp may be
}

// maxID bounds the length of an origin's or subject's name.
const maxID = 128

// Refusal says why a fact was not taken; empty for one that was, or was known.
type Refusal string

// The refusals.
const (
	Malformed Refusal = "malformed"
	Future    Refusal = "stamp from the future"
	Full      Refusal = "too many origins"
)

// register is a fact as it is held.
type register struct {
	stamp Stamp
	word  Word
	until time.Duration // on the caller's monotonic clock
	hash  uint64
}

// key names a register.
type origin struct {
	facts map[string]register // by subject
	hash  uint64              // of all of them: the XOR of theirs
}

// Store holds the facts of a fleet as one broker knows them. It is not safe for concurrent use: one goroutine owns it.
type Store struct {
	self    string
	limits  Limits
	origins map[string]*origin
	clock   Stamp
	hash    uint64
	count   int
}

// New makes an empty store of a broker.
func New(self string, limits Limits) *Store {
	return &Store{self: self, limits: limits, origins: map[string]*origin{}}
}

// Now is the time of one event: Mono, that only moves on, for ends, and Wall, that may be off, for stamps.
type Now struct {
	Mono time.Duration
	Wall time.Time
}

// Set writes a fact of this broker's own, and returns it as it is to be told; false where it says nothing new.
func (s *Store) Set(now Now, subject string, word Word, ttl time.Duration) (Fact, bool) {
	ttl = min(ttl, s.limits.TTL)
	if o := s.origins[s.self]; o != nil {
		if r, ok := o.facts[subject]; ok && r.word == word && r.until-now.Mono > ttl/2 {
			return Fact{}, false
		}
	}
	if wall := now.Wall.UnixMilli(); wall > s.clock.Wall {
		s.clock = Stamp{Wall: wall}
	} else {
		s.clock.Logical++
	}
	f := Fact{Origin: s.self, Subject: subject, Stamp: s.clock, Word: word, Left: ttl}
	s.put(now, f)
	return f, true
}

// Merge joins a fact that was told, and tells whether it was news. One under this broker's own name is an earlier
// process's: this one writes after it, and Advise does not count it.
func (s *Store) Merge(now Now, f Fact) (news bool, refused Refusal) {
	switch {
	case f.Origin == "" || f.Subject == "" || len(f.Origin) > maxID || len(f.Subject) > maxID ||
		f.Word != Good && f.Word != Bad || f.Left <= 0 || f.Left > s.limits.TTL:
		return false, Malformed
	case f.Stamp.Wall > now.Wall.Add(s.limits.Ahead).UnixMilli():
		return false, Future
	case s.origins[f.Origin] == nil && len(s.origins) >= s.limits.Origins:
		return false, Full
	}
	if f.Stamp.Compare(s.clock) > 0 {
		s.clock = f.Stamp // what this broker writes from now on comes after all that it has heard
	}
	return s.put(now, f), ""
}

// put joins a fact into its register.
func (s *Store) put(now Now, f Fact) bool {
	o := s.origins[f.Origin]
	if o == nil {
		o = &origin{facts: map[string]register{}}
		s.origins[f.Origin] = o
	}
	next := register{stamp: f.Stamp, word: f.Word, until: now.Mono + f.Left, hash: f.hash()}
	old, known := o.facts[f.Subject]
	if known {
		c := cmp.Or(next.stamp.Compare(old.stamp), cmp.Compare(next.word, old.word))
		if c < 0 || c == 0 && next.until >= old.until {
			return false
		}
		if c == 0 { // the same fact with an earlier end: that holds, and is nothing to tell
			old.until = next.until
			o.facts[f.Subject] = old
			return false
		}
		s.drop(o, f.Subject)
	} else if len(o.facts) >= s.limits.PerOrigin {
		oldest, first := "", true
		for subject, r := range o.facts {
			if c := r.stamp.Compare(o.facts[oldest].stamp); first || c < 0 || c == 0 && subject < oldest {
				oldest, first = subject, false
			}
		}
		if c := o.facts[oldest].stamp.Compare(next.stamp); c > 0 || c == 0 && oldest > f.Subject {
			return false
		}
		s.drop(o, oldest)
	}
	o.facts[f.Subject] = next
	o.hash ^= next.hash
	s.hash ^= next.hash
	s.count++
	return true
}

func (s *Store) drop(o *origin, subject string) {
	r := o.facts[subject]
	delete(o.facts, subject)
	o.hash ^= r.hash
	s.hash ^= r.hash
	s.count--
}

// hash is of all that two copies of a fact agree on: not of how long it holds, which is known to each as it came.
func (f Fact) hash() uint64 {
	h := fnv.New64a()
	var b [14]byte
	binary.BigEndian.PutUint64(b[:], uint64(f.Stamp.Wall))
	binary.BigEndian.PutUint32(b[8:], f.Stamp.Logical)
	b[12] = byte(f.Word)
	h.Write(b[:])
	h.Write([]byte(f.Origin))
	h.Write([]byte{0})
	h.Write([]byte(f.Subject))
	return h.Sum64()
}

// Expire drops the facts that hold no longer, and tells how many.
func (s *Store) Expire(now Now) (dropped int) {
	for id, o := range s.origins {
		for subject, r := range o.facts {
			if r.until <= now.Mono {
				s.drop(o, subject)
				dropped++
			}
		}
		if len(o.facts) == 0 {
			delete(s.origins, id)
		}
	}
	return dropped
}

// Digest is the same in two copies that hold the same facts.
func (s *Store) Digest() string { return fmt.Sprintf("%d-%016x", s.count, s.hash) }

// Len is how many facts are held.
func (s *Store) Len() int { return s.count }

// Facts are all that are held, by origin and subject.
func (s *Store) Facts(now Now) []Fact { return s.Since(now, nil) }

// Summary is what a copy holds of each origin, as one number: another copy sends what it holds of those that differ.
func (s *Store) Summary() map[string]uint64 {
	sums := make(map[string]uint64, len(s.origins))
	for id, o := range s.origins {
		sums[id] = o.hash
	}
	return sums
}

// Since are the facts of the origins of which a copy with a summary holds others, or none: all, for an empty summary.
func (s *Store) Since(now Now, summary map[string]uint64) []Fact {
	var facts []Fact
	for id, o := range s.origins {
		if sum, ok := summary[id]; ok && sum == o.hash {
			continue
		}
		for subject, r := range o.facts {
			if left := r.until - now.Mono; left > 0 {
				facts = append(facts, Fact{Origin: id, Subject: subject, Stamp: r.stamp, Word: r.word, Left: left})
			}
		}
	}
	slices.SortFunc(facts, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Subject, b.Subject))
	})
	return facts
}
