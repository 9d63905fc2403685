package trial

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"dykering/internal/lab/experiment"
)

// series holds the paired values of one figure for both variants.
type series struct {
	name          string
	base, changed []float64
}

func (s *series) add(base, changed float64) {
	s.base = append(s.base, base)
	s.changed = append(s.changed, changed)
}

// collection holds series in the order in which their names were first added.
type collection struct{ series []*series }

func (c *collection) add(name string, base, changed float64) {
	for _, s := range c.series {
		if s.name == name {
			s.add(base, changed)
			return
		}
	}
	s := &series{name: name}
	s.add(base, changed)
	c.series = append(c.series, s)
}

// Write writes the tables of a comparison of two variants, one for each deployment: the worth by day, then the parts, prices, classes
// of requests and zones. A star marks a difference that exceeds its error.
func Write(w io.Writer, variants []Variant, outcomes []Outcome) error {
	if len(variants) != 2 {
		return errors.New("a comparison needs exactly two variants")
	}
	whole := lo.Filter(outcomes, func(o Outcome, _ int) bool { return o.Reports[0] != nil && o.Reports[1] != nil })
	bySite := lo.GroupBy(whole, func(o Outcome) string { return o.Play.SiteName() })
	sites := lo.Keys(bySite)
	slices.Sort(sites)
	for _, site := range sites {
		if err := writeSite(w, site, bySite[site]); err != nil {
			return err
		}
	}
	writeProblems(w, variants, whole)
	return nil
}

func writeSite(w io.Writer, site string, outcomes []Outcome) error {
	var c collection
	for _, o := range outcomes {
		c.add("worth", o.Reports[0].Worth, o.Reports[1].Worth)
		c.add("worth on "+o.Play.Day, o.Reports[0].Worth, o.Reports[1].Worth)
	}
	for _, o := range outcomes {
		c.addDetails(o.Reports[0], o.Reports[1])
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s\tplays\tbase\tchanged\tdifference\terror\t\n", site)
	for _, s := range c.series {
		if lo.EveryBy(append(s.base, s.changed...), func(x float64) bool { return x == 0 }) {
			continue
		}
		writeRow(table, s)
	}
	return errors.Wrap(table.Flush(), "write the table")
}

// addDetails adds all figures of a pair of reports except the worth.
func (c *collection) addDetails(base, changed *Report) {
	for i, part := range base.Parts {
		c.add(part.Name, part.Value, changed.Parts[i].Value)
	}
	for i, price := range base.Prices {
		c.add("price: "+price.Name, price.Value, changed.Prices[i].Value)
	}
	c.addGroups("kind", base.Classes, changed.Classes)
	c.addGroups("zone", base.Zones, changed.Zones)
	for _, end := range lo.Union(lo.Keys(base.AttemptOutcomes), lo.Keys(changed.AttemptOutcomes)) {
		c.add("tries ended: "+end, float64(base.AttemptOutcomes[end]), float64(changed.AttemptOutcomes[end]))
	}
}

func (c *collection) addGroups(title string, base, changed []Group) {
	for i, group := range base {
		c.add(title+": "+group.Name, group.Worth, changed[i].Worth)
	}
}

func writeRow(table io.Writer, s *series) {
	differences := make([]float64, len(s.base))
	for i := range s.base {
		differences[i] = s.changed[i] - s.base[i]
	}
	difference := experiment.EstimateOf(differences)
	mark := ""
	if math.Abs(difference.Mean) > difference.HalfWidth {
		mark = "*"
	}
	mean := func(values []float64) float64 { return experiment.EstimateOf(values).Mean }
	fmt.Fprintf(table, "  %s\t%d\t%.4f\t%.4f\t%+.4f\t%.4f\t%s\n", s.name, len(s.base), mean(s.base), mean(s.changed), difference.Mean, difference.HalfWidth, mark)
}

// writeProblems lists the plays with a violated rule, a missed floor of the gate or a failed process.
func writeProblems(w io.Writer, variants []Variant, outcomes []Outcome) {
	for _, o := range outcomes {
		for v, report := range o.Reports {
			rules := lo.Keys(report.BrokenRules)
			if len(rules) == 0 && report.Fault == nil && len(report.MissedFloors) == 0 {
				continue
			}
			fmt.Fprintf(w, "%s: %s of %s, seed %d: rules broken %v, fault %s, short %v\n", variants[v].Name, o.Play.Day, o.Play.SiteName(),
				o.Play.Seed, rules, lo.FromPtrOr(report.Fault, "none"), report.MissedFloors)
		}
	}
}
