package coordination

import (
	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// validate returns an error for a stored form that GobEncode cannot have written. A state that is decoded from such a form would
// break the invariants that the other functions rely on.
func (s *storedState) validate() error {
	tables := map[string][]string{
		"locks":   lo.Map(s.Locks, func(stored storedLock, _ int) string { return stored.Name }),
		"numbers": lo.Map(s.Numbers, func(stored storedNumber, _ int) string { return stored.Name }),
		"cells":   lo.Map(s.Cells, func(stored storedCell, _ int) string { return stored.Name }),
		"groups":  lo.Map(s.Groups, func(stored storedGroup, _ int) string { return stored.Name }),
	}
	for table, names := range tables {
		if !isStrictlyAscending(names) {
			return errors.Errorf("the names of the %s are not in strictly ascending order", table)
		}
	}
	for i := range s.Groups {
		if err := s.Groups[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

// validate returns an error for a group that lacks a put above its floor or has a put twice.
func (g *storedGroup) validate() error {
	if g.Revision < g.Floor || g.Revision-g.Floor != uint64(len(g.Events)) {
		return errors.Errorf("group %q has %d events between floor %d and revision %d", g.Name, len(g.Events), g.Floor, g.Revision)
	}
	known := map[string]bool{}
	for i, event := range g.Events {
		key := putKey(event.Name, event.Value)
		if event.Revision != g.Floor+uint64(i)+1 || known[key] {
			return errors.Errorf("group %q has a duplicate put or an event at the wrong revision %d", g.Name, event.Revision)
		}
		known[key] = true
	}
	return nil
}

// isStrictlyAscending reports whether names are sorted and have no duplicates.
func isStrictlyAscending(names []string) bool {
	for i := 1; i < len(names); i++ {
		if names[i-1] >= names[i] {
			return false
		}
	}
	return true
}
