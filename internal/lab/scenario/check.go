package scenario

import (
	_ "embed"
	"fmt"
	"slices"

	"dykering/internal/lab/faultnet"
	"dykering/internal/validation"
)

// faultList collects what is wrong with a scenario.
type faultList []validation.Error

func (l *faultList) add(key, text string, args ...any) {
	*l = append(*l, validation.Error{Key: key, Text: fmt.Sprintf(text, args...)})
}

// addIf adds a fault where a condition holds.
func (l *faultList) addIf(condition bool, key, text string, args ...any) {
	if condition {
		l.add(key, text, args...)
	}
}

// Check names what the keys alone do not tell. It also fills in what a part of an array leaves out.
func (s *Scenario) Check() []validation.Error {
	var wrong faultList
	wrong = append(wrong, (&faultnet.Schedule{Steps: s.Faults}).Check()...)
	wrong.addIf(len(s.Faults) > 0 && !s.Broker.Fleet, "fault", "faults between brokers need broker.fleet")
	wrong.addIf(len(s.Kinds) == 0, "kind", "at least one kind of server is needed")
	wrong.addIf(len(s.Classes) == 0, "class", "at least one class is needed")
	wrong.checkShares("kind", len(s.Kinds), func(i int) float64 { return s.Kinds[i].Share })
	wrong.checkShares("class", len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	wrong.checkShares("team", len(s.Teams), func(i int) float64 { return s.Teams[i].Share })
	for i, kind := range s.Kinds {
		wrong.checkKind(fmt.Sprintf("kind[%d].", i), kind)
	}
	for i, class := range s.Classes {
		wrong.checkClass(fmt.Sprintf("class[%d].", i), class)
	}
	for i, tier := range s.Below {
		wrong.checkTier(fmt.Sprintf("below[%d].", i), tier, s)
	}
	for i, trouble := range s.Troubles {
		wrong.checkTrouble(fmt.Sprintf("trouble[%d].", i), trouble, s)
	}
	s.keepTroublesOfTheDay(&wrong)
	if n := s.Broker.Instances; s.Callers.Hot > 1 && s.Callers.Hot*float64((n+9)/10) >= float64(n) {
		wrong.add("callers.hot", "one in ten of %d instances cannot get %v times the mean: that is all, or more", n, s.Callers.Hot)
	}
	wrong.addIf(s.Callers.Rate.From <= 0, "callers.rate", "has to be above 0")
	return wrong
}

// checkShares requires that the shares of an array sum to 1, within a thousandth.
func (l *faultList) checkShares(key string, n int, share func(int) float64) {
	sum := 0.0
	for i := range n {
		sum += share(i)
	}
	l.addIf(n > 0 && (sum < 0.999 || sum > 1.001), key+"[0].share", "the shares sum to %v, not 1", sum)
}

func (l *faultList) checkKind(key string, kind Kind) {
	l.addIf(kind.Speed.From <= 0, key+"speed", "has to be above 0")
	l.addIf(kind.Slots > 0 && kind.Slots < kind.Cores, key+"slots", "are fewer than its cores")
	l.addIf((kind.PauseEvery.To > 0) != (kind.PauseFor.To > 0), key+"pause_every",
		"says nothing without pause_for, and that nothing without it")
}

func (l *faultList) checkClass(key string, class Class) {
	l.addIf(class.Work.From <= 0, key+"work", "has to be above 0")
	l.addIf(class.Aim > class.Deadline, key+"aim", "is later than the deadline")
}

func (l *faultList) checkTier(key string, tier Below, s *Scenario) {
	l.addIf(tier.Work.From <= 0, key+"work", "has to be above 0")
	l.addIf(tier.Calls.From < 1, key+"calls", "has to be at least 1")
	l.addIf(tier.Kind != "" && s.KindOf(tier.Kind) < 0, key+"kind", "%q is no kind of server here", tier.Kind)
}

func (l *faultList) checkTrouble(key string, trouble Trouble, s *Scenario) {
	l.addIf(trouble.Tier > len(s.Below), key+"tier", "there are %d tiers, counted from 0", 1+len(s.Below))
	l.addIf(trouble.What == "bytes" && trouble.How == "none", key+"how", "bytes needs it")
	l.addIf(trouble.What == "flap" && trouble.Every == 0, key+"every", "a flap needs it")
	l.addIf(trouble.What == "flood" && s.TeamOf(trouble.Team) < 0, key+"team", "%q is no team here", trouble.Team)
	l.addIf(trouble.What == "zone" && s.Servers.Zones < 2, key+"what", "of one zone none can be lost")
}

// keepTroublesOfTheDay drops the troubles of other days; a day without troubles of its own is a fault.
func (s *Scenario) keepTroublesOfTheDay(wrong *faultList) {
	isOfTheDay := func(t Trouble) bool { return t.Day == s.Day }
	wrong.addIf(s.Day != "" && !slices.ContainsFunc(s.Troubles, isOfTheDay), "day", "no trouble comes on a day %q", s.Day)
	s.Troubles = slices.DeleteFunc(s.Troubles, func(t Trouble) bool { return t.Day != "" && !isOfTheDay(t) })
}
