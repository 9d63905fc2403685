package coordination

import (
	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// validate returns an error for a stored form that GobEncode has not written: the state that it gives would break the
// invariants on which the other functions rest.
func (s *storedState) validate() error {
	tables := map[string][]string{
		"locks":   lo.Map(s.Locks, func(stored storedLock, _ int) string { return stored.Name }),
		"numbers": lo.Map(s.Numbers, func(stored storedNumber, _ int) string { return stored.Name }),
		"cells":   lo.Map(s.Cells, func(stored storedCell, _ int) string { return stored.Name }),
		"groups":  lo.Map(s.Groups, func(stored storedGroup, _ int) string { return stored.Name }),
	}
	for table, names := range tables {
		if !isRising(names) {
			return errors.Errorf("the names of the %s do not rise", table)
		}
	}
	for i := range s.Groups {
		if err := s.Groups[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

// validate returns an error for a group that lacks a put above its floor or has one twice.
func (g *storedGroup) validate() error {
	if g.Revision < g.Floor || g.Revision-g.Floor != uint64(len(g.Events)) {
		return errors.Errorf("group %q has %d events between %d and %d", g.Name, len(g.Events), g.Floor, g.Revision)
	}
	known := map[string]bool{}
	for i, event := range g.Events {
		key := putKey(event.Name, event.Value)
		if event.Revision != g.Floor+uint64(i)+1 || known[key] {
			return errors.Errorf("group %q has an event at the wrong revision %d", g.Name, event.Revision)
		}
		known[key] = true
	}
	return nil
}

// isRising reports whether names are sorted, each of them once.
func isRising(names []string) bool {
	for i := 1; i < len(names); i++ {
		if names[i-1] >= names[i] {
			return false
		}
	}
	return true
}
