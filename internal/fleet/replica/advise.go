package replica

import (
	"cmp"
	"slices"
	"time"
)

// Rules bound what the word of others can do, whoever says it.
type Rules struct {
	Witnesses int     // brokers that have to call a server bad before this one heeds it
	PerOrigin float64 // share of the servers that one broker may call bad: one that calls more of them so is not heard
	Most      float64 // share of the servers that may be bad by the word of others at a time
}

// Advice is a server that is bad by the facts of others.
type Advice struct {
	Subject   string
	Witnesses int
	Age       time.Duration // of the latest fact behind it
}

// Advise tells what the facts of other brokers come to, where so many servers are listed. A server is bad by as many
// as the rules ask for while nobody else was answered well by it: who was, is evidence that it lives. Facts are counted, not compared by their stamps: a broker whose
// clock is ahead weighs no more than another. Of more bad servers than may be, those with the most witnesses count.
func (s *Store) Advise(now Now, servers int, r Rules) []Advice {
	type tally struct {
		bad, good int
		age       time.Duration
	}
	tallies := map[string]*tally{}
	for id, o := range s.origins {
		if id == s.self {
			continue
		}
		bad := 0
		for _, f := range o.facts {
			if f.word == Bad && f.until > now.Mono {
				bad++
			}
		}
		believed := float64(bad) <= max(r.PerOrigin*float64(servers), 1)
		for subject, f := range o.facts {
			if f.until <= now.Mono || f.word == Bad && !believed {
				continue
			}
			t := tallies[subject]
			if t == nil {
				t = &tally{age: s.limits.TTL}
				tallies[subject] = t
			}
			if f.word == Bad {
				t.bad++
			} else {
				t.good++
			}
			t.age = min(t.age, s.limits.TTL-(f.until-now.Mono))
		}
	}
	var advice []Advice
	for subject, t := range tallies {
		if t.good == 0 && t.bad >= r.Witnesses {
			advice = append(advice, Advice{subject, t.bad, t.age})
		}
	}
	slices.SortFunc(advice, func(a, b Advice) int {
		return cmp.Or(cmp.Compare(b.Witnesses, a.Witnesses), cmp.Compare(a.Subject, b.Subject))
	})
	return advice[:min(len(advice), int(r.Most*float64(servers)))]
}

// Disputed are the servers that anybody calls bad: for those alone it is worth telling that they answer.
func (s *Store) Disputed(now Now) []string {
	var named []string
	for _, o := range s.origins {
		for subject, f := range o.facts {
			if f.word == Bad && f.until > now.Mono {
				named = append(named, subject)
			}
		}
	}
	slices.Sort(named)
	return slices.Compact(named)
}
