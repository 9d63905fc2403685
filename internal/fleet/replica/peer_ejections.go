package replica

import (
	"cmp"
	"slices"
	"time"
)

// EjectionRules bound the effect of other brokers' facts, whatever they claim.
type EjectionRules struct {
	MinWitnesses int // MinWitnesses is how many brokers have to call a server bad.
	// MaxShareOfOrigin is the share of the servers that one broker may call bad. A broker that calls more bad is ignored,
	// as the fault is then likely to be its own; one server is always allowed.
	MaxShareOfOrigin float64
	MaxShare         float64 // MaxShare is the share of the servers that may be bad by advice at a time.
}

// PeerEjection is a server that is bad by the facts of other brokers.
type PeerEjection struct {
	Subject   string
	Witnesses int
	Age       time.Duration // Age is that of the latest fact behind it.
}

// verdictCount counts the facts about a server.
type verdictCount struct {
	bad, good int
	age       time.Duration
}

// PeerEjections returns the servers, of so many in the list, that are bad by the facts of other brokers. A server is bad by
// enough witnesses while no other broker was answered well by it, as that shows that it is up. Facts are counted and
// not compared by their stamps: a broker whose clock is ahead weighs no more than another. Of more bad servers than
// allowed, those with the most witnesses are returned.
func (s *Store) PeerEjections(now Now, servers int, rules EjectionRules) []PeerEjection {
	var advice []PeerEjection
	for subject, count := range s.countVerdicts(now, servers, rules) {
		if count.good == 0 && count.bad >= rules.MinWitnesses {
			advice = append(advice, PeerEjection{subject, count.bad, count.age})
		}
	}
	slices.SortFunc(advice, func(a, b PeerEjection) int {
		return cmp.Or(cmp.Compare(b.Witnesses, a.Witnesses), cmp.Compare(a.Subject, b.Subject))
	})
	return advice[:min(len(advice), int(rules.MaxShare*float64(servers)))]
}

// countVerdicts counts the facts of other brokers by server.
func (s *Store) countVerdicts(now Now, servers int, rules EjectionRules) map[string]*verdictCount {
	tallies := map[string]*verdictCount{}
	for id, facts := range s.origins {
		if id == s.self {
			continue
		}
		isCredible := float64(facts.countBad(now)) <= max(rules.MaxShareOfOrigin*float64(servers), 1)
		for subject, held := range facts.bySubject {
			if held.expiresAt <= now.Mono || held.verdict == Bad && !isCredible {
				continue
			}
			count := tallies[subject]
			if count == nil {
				count = &verdictCount{age: s.limits.TTL}
				tallies[subject] = count
			}
			if held.verdict == Bad {
				count.bad++
			} else {
				count.good++
			}
			count.age = min(count.age, s.limits.TTL-(held.expiresAt-now.Mono))
		}
	}
	return tallies
}

func (f *originFacts) countBad(now Now) (bad int) {
	for _, held := range f.bySubject {
		if held.verdict == Bad && held.expiresAt > now.Mono {
			bad++
		}
	}
	return bad
}

// ReportedBad returns the servers that any broker calls bad. Only of those is it worth sending that they answer well.
func (s *Store) ReportedBad(now Now) []string {
	var disputed []string
	for _, facts := range s.origins {
		for subject, held := range facts.bySubject {
			if held.verdict == Bad && held.expiresAt > now.Mono {
				disputed = append(disputed, subject)
			}
		}
	}
	slices.Sort(disputed)
	return slices.Compact(disputed)
}
