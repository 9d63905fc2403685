package scenario

import (
	"fmt"
	"slices"

	"dykering/internal/lab/faultnet"
	"dykering/internal/validation"
)

// errorList collects the errors of a scenario file.
type errorList []validation.Error

// add adds an error of a key.
func (l *errorList) add(key, text string, args ...any) {
	*l = append(*l, validation.Error{Key: key, Text: fmt.Sprintf(text, args...)})
}

// addIf adds an error of a key if a condition holds.
func (l *errorList) addIf(condition bool, key, text string, args ...any) {
	if condition {
		l.add(key, text, args...)
	}
}

// Check returns the errors that concern several keys or that the bounds of a key cannot express. It also
// removes the injected faults of other days than the selected one.
func (s *Scenario) Check() []validation.Error {
	var found errorList
	found = append(found, (&faultnet.Schedule{Steps: s.NetworkFaults}).Check()...)
	found.addIf(len(s.NetworkFaults) > 0 && !s.Broker.Fleet, "fault", "faults between instances require broker.fleet = true")
	found.addIf(len(s.Kinds) == 0, "kind", "at least one kind of server is needed")
	found.addIf(len(s.Classes) == 0, "class", "at least one class is needed")
	found.checkShares("kind", len(s.Kinds), func(i int) float64 { return s.Kinds[i].Share })
	found.checkShares("class", len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	found.checkShares("team", len(s.Teams), func(i int) float64 { return s.Teams[i].Share })
	for i, kind := range s.Kinds {
		found.checkKind(fmt.Sprintf("kind[%d].", i), kind)
	}
	for i, class := range s.Classes {
		found.checkClass(fmt.Sprintf("class[%d].", i), class)
	}
	for i, tier := range s.DownstreamTiers {
		found.checkTier(fmt.Sprintf("below[%d].", i), tier, s)
	}
	for i, fault := range s.InjectedFaults {
		found.checkInjectedFault(fmt.Sprintf("trouble[%d].", i), fault, s)
	}
	s.removeFaultsOfOtherDays(&found)
	if n := s.Broker.Instances; s.Callers.HotFactor > 1 && s.Callers.HotFactor*float64((n+9)/10) >= float64(n) {
		found.add("callers.hot", "one in ten of %d instances cannot get %v times the mean load: that is the whole load or more", n,
			s.Callers.HotFactor)
	}
	found.addIf(s.Callers.Rate.From <= 0, "callers.rate", "has to be above 0")
	return found
}

// checkShares checks that the shares of an array sum to 1, with a tolerance of a thousandth.
func (l *errorList) checkShares(key string, n int, share func(int) float64) {
	sum := 0.0
	for i := range n {
		sum += share(i)
	}
	l.addIf(n > 0 && (sum < 0.999 || sum > 1.001), key+"[0].share", "the shares sum to %v, not 1", sum)
}

// checkKind checks a kind of server.
func (l *errorList) checkKind(key string, kind Kind) {
	l.addIf(kind.Speed.From <= 0, key+"speed", "has to be above 0")
	l.addIf(kind.Slots > 0 && kind.Slots < kind.Cores, key+"slots", "must not be less than cores (%d)", kind.Cores)
	l.addIf((kind.PauseInterval.To > 0) != (kind.PauseDuration.To > 0), key+"pause_every",
		"pause_every and pause_for must be set together")
}

// checkClass checks a class of request.
func (l *errorList) checkClass(key string, class Class) {
	l.addIf(class.Work.From <= 0, key+"work", "has to be above 0")
	l.addIf(class.LatencyTarget > class.Deadline, key+"aim", "is later than the deadline")
}

// checkTier checks a downstream tier.
func (l *errorList) checkTier(key string, tier DownstreamTier, s *Scenario) {
	l.addIf(tier.Work.From <= 0, key+"work", "has to be above 0")
	l.addIf(tier.Calls.From < 1, key+"calls", "has to be at least 1")
	l.addIf(tier.Kind != "" && s.KindIndex(tier.Kind) < 0, key+"kind", "%q is not a kind of server in this scenario", tier.Kind)
}

// checkInjectedFault checks that an injected fault has the keys that its kind needs.
func (l *errorList) checkInjectedFault(key string, fault InjectedFault, s *Scenario) {
	l.addIf(fault.Tier > len(s.DownstreamTiers), key+"tier", "has to be below the number of tiers, %d", 1+len(s.DownstreamTiers))
	l.addIf(fault.Kind == "bytes" && fault.ConnectionFault == "none", key+"how", "a fault of the kind bytes needs it")
	l.addIf(fault.Kind == "flap" && fault.Interval == 0, key+"every", "a fault of the kind flap needs it")
	l.addIf(fault.Kind == "flood" && s.TeamIndex(fault.Team) < 0, key+"team", "%q is not a team of this scenario", fault.Team)
	l.addIf(fault.Kind == "zone" && s.Servers.Zones < 2, key+"what", "the loss of a zone needs at least 2 zones in servers.zones")
}

// removeFaultsOfOtherDays removes the injected faults that belong to other days than the selected one. It
// reports an error if no fault belongs to the selected day.
func (s *Scenario) removeFaultsOfOtherDays(found *errorList) {
	isOfSelectedDay := func(fault InjectedFault) bool { return fault.Day == s.Day }
	found.addIf(s.Day != "" && !slices.ContainsFunc(s.InjectedFaults, isOfSelectedDay), "day", "no trouble has the day %q", s.Day)
	s.InjectedFaults = slices.DeleteFunc(s.InjectedFaults, func(fault InjectedFault) bool {
		return fault.Day != "" && !isOfSelectedDay(fault)
	})
}
