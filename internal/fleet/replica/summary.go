package replica

import (
	"cmp"
	"fmt"
	"slices"
)

// Digest returns a short hash of all facts. Two copies with the same facts have the same digest.
func (s *Store) Digest() string { return fmt.Sprintf("%d-%016x", s.count, s.hash) }

// Facts returns all facts, ordered by origin and subject.
func (s *Store) Facts(now Now) []Fact { return s.Differing(now, nil) }

// Summary returns the hash of each origin's facts by origin.
func (s *Store) Summary() map[string]uint64 {
	hashes := make(map[string]uint64, len(s.origins))
	for id, facts := range s.origins {
		hashes[id] = facts.hash
	}
	return hashes
}

// Differing returns the facts of each origin whose hash differs from, or is missing in, the summary of another copy.
func (s *Store) Differing(now Now, summary map[string]uint64) []Fact {
	var differing []Fact
	for id, facts := range s.origins {
		if hash, ok := summary[id]; ok && hash == facts.hash {
			continue
		}
		for subject, held := range facts.bySubject {
			if remaining := held.expiresAt - now.Mono; remaining > 0 {
				differing = append(differing, Fact{Origin: id, Subject: subject, Stamp: held.stamp, Verdict: held.verdict, Remaining: remaining})
			}
		}
	}
	slices.SortFunc(differing, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Subject, b.Subject))
	})
	return differing
}
