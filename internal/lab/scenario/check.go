package scenario

import (
	_ "embed"
	"fmt"
	"slices"

	"dykering/internal/faults"
	"dykering/internal/lab/faultnet"
)

// Check names what the keys alone do not tell. It also fills in what a part of an array leaves out.
func (s *Scenario) Check() (wrong []faults.Fault) {
	fault := func(key, text string, args ...any) {
		wrong = append(wrong, faults.Fault{Key: key, Text: fmt.Sprintf(text, args...)})
	}
	wrong = append(wrong, (&faultnet.Schedule{Steps: s.Faults}).Check()...)
	if len(s.Faults) > 0 && !s.Broker.Fleet {
		fault("fault", "faults between brokers need broker.fleet")
	}
	if len(s.Kinds) == 0 {
		fault("kind", "at least one kind of server is needed")
	}
	if len(s.Classes) == 0 {
		fault("class", "at least one class is needed")
	}
	shares := func(key string, n int, share func(int) float64) {
		sum := 0.0
		for i := range n {
			sum += share(i)
		}
		if n > 0 && (sum < 0.999 || sum > 1.001) {
			fault(key+"[0].share", "the shares sum to %v, not 1", sum)
		}
	}
	shares("kind", len(s.Kinds), func(i int) float64 { return s.Kinds[i].Share })
	shares("class", len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	shares("team", len(s.Teams), func(i int) float64 { return s.Teams[i].Share })
	for i, k := range s.Kinds {
		if k.Speed.From <= 0 {
			fault(fmt.Sprintf("kind[%d].speed", i), "has to be above 0")
		}
		if k.Slots > 0 && k.Slots < k.Cores {
			fault(fmt.Sprintf("kind[%d].slots", i), "are fewer than its cores")
		}
		if (k.PauseEvery.To > 0) != (k.PauseFor.To > 0) {
			fault(fmt.Sprintf("kind[%d].pause_every", i), "says nothing without pause_for, and that nothing without it")
		}
	}
	for i, c := range s.Classes {
		if c.Work.From <= 0 {
			fault(fmt.Sprintf("class[%d].work", i), "has to be above 0")
		}
		if c.Aim > c.Deadline {
			fault(fmt.Sprintf("class[%d].aim", i), "is later than the deadline")
		}
	}
	for i, b := range s.Below {
		key := fmt.Sprintf("below[%d].", i)
		if b.Work.From <= 0 {
			fault(key+"work", "has to be above 0")
		}
		if b.Calls.From < 1 {
			fault(key+"calls", "has to be at least 1")
		}
		if b.Kind != "" && s.KindOf(b.Kind) < 0 {
			fault(key+"kind", "%q is no kind of server here", b.Kind)
		}
	}
	for i, t := range s.Troubles {
		key := fmt.Sprintf("trouble[%d].", i)
		if t.Tier > len(s.Below) {
			fault(key+"tier", "there are %d tiers, counted from 0", 1+len(s.Below))
		}
		if t.What == "bytes" && t.How == "none" {
			fault(key+"how", "bytes needs it")
		}
		if t.What == "flap" && t.Every == 0 {
			fault(key+"every", "a flap needs it")
		}
		if t.What == "flood" && s.TeamOf(t.Team) < 0 {
			fault(key+"team", "%q is no team here", t.Team)
		}
		if t.What == "zone" && s.Servers.Zones < 2 {
			fault(key+"what", "of one zone none can be lost")
		}
	}
	known := func(t Trouble) bool { return t.Day == s.Day }
	if s.Day != "" && !slices.ContainsFunc(s.Troubles, known) {
		fault("day", "no trouble comes on a day %q", s.Day)
	}
	s.Troubles = slices.DeleteFunc(s.Troubles, func(t Trouble) bool { return t.Day != "" && !known(t) })
	if n := s.Broker.Instances; s.Callers.Hot > 1 && s.Callers.Hot*float64((n+9)/10) >= float64(n) {
		fault("callers.hot", "one in ten of %d instances cannot get %v times the mean: that is all, or more", n, s.Callers.Hot)
	}
	if s.Callers.Rate.From <= 0 {
		fault("callers.rate", "has to be above 0")
	}
	return wrong
}
