package replica

import (
	"cmp"
	"slices"
	"time"
)

// EjectionRules bounds the effect of other brokers' facts, so that wrong facts cannot eject most servers.
type EjectionRules struct {
	MinWitnesses int // MinWitnesses is the number of brokers that have to report a server as bad.
	// MaxShareOfOrigin is the share of the servers that one broker may report as bad. Bad verdicts of a broker that reports
	// more are ignored, because the fault is then likely its own. One server is always allowed.
	MaxShareOfOrigin float64
	MaxShare         float64 // MaxShare is the share of the servers that peer ejections may cover at a time.
}

// PeerEjection recommends ejecting a server, on the evidence of other brokers' facts.
type PeerEjection struct {
	Subject   string
	Witnesses int
	Age       time.Duration // Age is the age of the latest fact about the server.
}

// verdictCount counts the facts about a server by verdict.
type verdictCount struct {
	bad, good int
	age       time.Duration
}

// PeerEjections returns the servers to eject by the facts of other brokers. servers is the number of servers in this
// broker's list. A server is ejected if enough brokers report it as bad and no broker reports it as good, because a good
// answer shows that the server is up. Facts are counted and not compared by their stamps, so that a broker whose clock is
// ahead has no more weight than another. If more servers qualify than allowed, those with the most witnesses are returned.
func (s *Store) PeerEjections(now Now, servers int, rules EjectionRules) []PeerEjection {
	var ejections []PeerEjection
	for subject, count := range s.countVerdicts(now, servers, rules) {
		if count.good == 0 && count.bad >= rules.MinWitnesses {
			ejections = append(ejections, PeerEjection{subject, count.bad, count.age})
		}
	}
	slices.SortFunc(ejections, func(a, b PeerEjection) int {
		return cmp.Or(cmp.Compare(b.Witnesses, a.Witnesses), cmp.Compare(a.Subject, b.Subject))
	})
	return ejections[:min(len(ejections), int(rules.MaxShare*float64(servers)))]
}

// countVerdicts counts the facts of other brokers by server.
func (s *Store) countVerdicts(now Now, servers int, rules EjectionRules) map[string]*verdictCount {
	counts := map[string]*verdictCount{}
	for id, facts := range s.origins {
		if id == s.self {
			continue
		}
		isCredible := float64(facts.countBad(now)) <= max(rules.MaxShareOfOrigin*float64(servers), 1)
		for subject, held := range facts.bySubject {
			if held.expiresAt <= now.Mono || held.verdict == Bad && !isCredible {
				continue
			}
			count := counts[subject]
			if count == nil {
				count = &verdictCount{age: s.limits.TTL}
				counts[subject] = count
			}
			if held.verdict == Bad {
				count.bad++
			} else {
				count.good++
			}
			count.age = min(count.age, s.limits.TTL-(held.expiresAt-now.Mono))
		}
	}
	return counts
}

// countBad returns the number of servers that the origin reports as bad.
func (f *originFacts) countBad(now Now) (bad int) {
	for _, held := range f.bySubject {
		if held.verdict == Bad && held.expiresAt > now.Mono {
			bad++
		}
	}
	return bad
}

// ReportedBad returns the servers that at least one broker reports as bad. Only for these servers is a Good fact worth
// sending.
func (s *Store) ReportedBad(now Now) []string {
	var reported []string
	for _, facts := range s.origins {
		for subject, held := range facts.bySubject {
			if held.verdict == Bad && held.expiresAt > now.Mono {
				reported = append(reported, subject)
			}
		}
	}
	slices.Sort(reported)
	return slices.Compact(reported)
}
