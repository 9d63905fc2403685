package decision

import (
	"fmt"
	"math"
)

// check names the first figure that cannot be.
func (l *Snapshot) validate(classes []class) error {
	if len(l.Classes) != len(classes) {
		return fmt.Errorf("learnt: %d classes, here are %d", len(l.Classes), len(classes))
	}
	type figure struct {
		key   string
		value float64
		most  float64
	}
	const huge = math.MaxFloat32
	figures := []figure{{"errors", l.Errors, 1}, {"strays", l.MissingShare, 1},
		{"budget", l.Budget, huge}, {"repeatSpent", l.RepeatSpent, huge}}
	for i, c := range l.Classes {
		if c.Name != classes[i].Name {
			return fmt.Errorf("learnt: classes[%d] is %q, here it is %q", i, c.Name, classes[i].Name)
		}
		key, longest := fmt.Sprintf("classes[%d].", i), huge
		if d := classes[i].Deadline; d > 0 {
			longest = d.Seconds() // more would make all that comes look long waited for
		}
		figures = append(figures, figure{key + "windows", float64(c.Windows), huge}, figure{key + "mean", c.Mean, huge},
			figure{key + "base", c.Base, huge}, figure{key + "usual", c.Usual, huge}, figure{key + "tail", c.Tail, huge},
			figure{key + "maxLeft", c.MaxLeft.Seconds(), longest}, figure{key + "asked", c.Asked, huge},
			figure{key + "good", c.Good, huge})
		if c.Windows > 0 && !(c.Mean > 0 && c.Base > 0 && c.Usual > 0 && c.Tail > 0) {
			return fmt.Errorf("learnt: %s a latency is not above 0", key)
		}
	}
	for _, x := range []struct {
		key string
		RateSnapshot
	}{{"rate", l.Rate}, {"spare", l.Spare}, {"served", l.Served}, {"asked", l.Asked}, {"warm", l.Warm}} {
		figures = append(figures, figure{x.key + ".now", x.Now, huge}, figure{x.key + ".peak", x.Peak, huge})
	}
	addPace := func(key string, p MeanSnapshot) error {
		figures = append(figures, figure{key + ".mean", p.Mean, huge}, figure{key + ".n", p.N, huge})
		if p.N > 0 && !(p.Mean > 0) {
			return fmt.Errorf("learnt: %s.mean is not above 0", key)
		}
		return nil
	}
	for _, list := range []struct {
		key   string
		paces []MeanSnapshot
	}{{"kinds", l.Kinds}, {"services", l.Services}} {
		for i, p := range list.paces {
			if err := addPace(fmt.Sprintf("%s[%d]", list.key, i), p); err != nil {
				return err
			}
		}
	}
	for i, e := range l.Endpoints {
		key := fmt.Sprintf("endpoints[%d].", i)
		if err := addPace(key+"pace", e.Pace); err != nil {
			return err
		}
		if err := addPace(key+"service", e.Service); err != nil {
			return err
		}
		figures = append(figures, figure{key + "errors", e.Errors, 1}, figure{key + "losses", e.Losses, 1},
			figure{key + "ramped", e.Ramped.Seconds(), huge})
	}
	for i, s := range l.TenantTokens {
		figures = append(figures, figure{fmt.Sprintf("shares[%d]", i), math.Abs(s), huge})
	}
	for _, f := range figures {
		if !(f.value >= 0 && f.value <= f.most) {
			return fmt.Errorf("learnt: %s: %v is not from 0 to %v", f.key, f.value, f.most)
		}
	}
	return nil
}
