package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"dykering/internal/lab/model"
)

// confidence is the confidence level of all intervals.
const confidence = 0.95

// Metric is a number that is computed from the result of a run.
type Metric struct {
	Name string
	// 1 if a larger value is better, -1 if a smaller one is, 0 if neither is.
	Direction int
	Value     func(*model.Result) float64
}

// Metrics are the metrics of a summary, in the order of the columns.
var Metrics = []Metric{
	{"service", 1, func(r *model.Result) float64 { return r.Service }},
	{"worst s", 1, func(r *model.Result) float64 { return r.WorstSecond }},
	{"others", 1, (*model.Result).NonFloodingService},
	{"back s", -1, func(r *model.Result) float64 {
		if r.RecoverySeconds < 0 {
			return float64(len(r.Seconds)) // the service did not recover within the run
		}
		return r.RecoverySeconds
	}},
	{"p50 ms", -1, func(r *model.Result) float64 { return 1000 * r.P50 }},
	{"p99 ms", -1, func(r *model.Result) float64 { return 1000 * r.P99 }},
	{"attempts", 0, func(r *model.Result) float64 { return float64(r.Attempts) / float64(max(r.Offered, 1)) }},
	{"connects", 0, func(r *model.Result) float64 { return float64(r.Connects) / float64(max(r.Offered, 1)) }},
	{"refused", 0, func(r *model.Result) float64 { return float64(r.Refused) / float64(max(r.Offered, 1)) }},
	{"broken", -1, func(r *model.Result) (n float64) {
		for _, count := range r.ViolationCounts {
			n += float64(count)
		}
		return n
	}},
}

// Estimate is the mean of N values with the half width of its confidence interval. The half width is NaN if N
// is below 2.
type Estimate struct {
	N               int
	Mean, HalfWidth float64
}

// EstimateOf returns the mean of values with its confidence interval. The interval follows Student's t
// distribution, since there are few values and their variance is unknown.
func EstimateOf(values []float64) Estimate {
	e := Estimate{N: len(values), HalfWidth: math.NaN()}
	if e.N == 0 {
		e.Mean = math.NaN()
		return e
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	e.Mean = mean
	if e.N > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(e.N - 1)}
		e.HalfWidth = t.Quantile(1-(1-confidence)/2) * deviation / math.Sqrt(float64(e.N))
	}
	return e
}

// verdict classifies a paired difference of a metric with the given direction.
func verdict(d Estimate, direction int) string {
	switch {
	case math.IsNaN(d.HalfWidth):
		return "too few seeds"
	case math.Abs(d.Mean) <= d.HalfWidth || d.Mean == 0:
		return "noise"
	case direction == 0 && d.Mean > 0:
		return "more"
	case direction == 0:
		return "less"
	case (d.Mean > 0) == (direction > 0):
		return "better"
	}
	return "worse"
}

// Row is a metric of a side at a point, with its difference from the baseline, paired by seed.
type Row struct {
	Point, Side, Metric string
	Value               Estimate
	Baseline            string // the side with which this one is compared; empty for none
	Difference          Estimate
	Verdict             string
}

// group holds the results of a side at a point by seed.
type group struct {
	point, side string
	runs        map[uint64]*model.Result
}

// groups groups runs by point and side, in the order in which these first occur.
func groups(runs []Run) (all []*group) {
	byKey := map[[2]string]*group{}
	for _, r := range runs {
		key := [2]string{r.Point, r.Side}
		g := byKey[key]
		if g == nil {
			g = &group{r.Point, r.Side, map[uint64]*model.Result{}}
			byKey[key] = g
			all = append(all, g)
		}
		g.runs[r.Seed] = r.Result
	}
	return all
}

// pairedDifference estimates the difference of a metric between a group and a baseline, over the seeds that
// both have.
func pairedDifference(m Metric, g, baseline *group) Estimate {
	var differences []float64
	for _, seed := range seeds(g) {
		if result := baseline.runs[seed]; result != nil {
			differences = append(differences, m.Value(g.runs[seed])-m.Value(result))
		}
	}
	return EstimateOf(differences)
}

func seeds(g *group) (all []uint64) {
	for seed := range g.runs {
		all = append(all, seed)
	}
	slices.Sort(all)
	return all
}

// Summary summarizes the runs of an experiment. It compares each side with the first one at the same point.
func (e *Experiment) Summary(runs []Run) (rows []Row) {
	all := groups(runs)
	find := func(p point, side string) *group {
		i := slices.IndexFunc(all, func(g *group) bool { return g.point == p.name && g.side == side })
		if i < 0 {
			return nil
		}
		return all[i]
	}
	for _, p := range e.points() {
		first := find(p, e.Sides[0].Name)
		for i, s := range e.Sides {
			g := find(p, s.Name)
			if g == nil {
				continue
			}
			for _, m := range Metrics {
				row := Row{Point: p.name, Side: s.Name, Metric: m.Name, Value: g.estimate(m)}
				if i > 0 && first != nil {
					row.Baseline, row.Difference = first.side, pairedDifference(m, g, first)
					row.Verdict = verdict(row.Difference, m.Direction)
				}
				rows = append(rows, row)
			}
		}
	}
	return rows
}

func (g *group) estimate(m Metric) Estimate {
	var values []float64
	for _, seed := range seeds(g) {
		values = append(values, m.Value(g.runs[seed]))
	}
	return EstimateOf(values)
}

// Compare compares the runs of two folders of results, for each point and side that both have. The first
// folder is the baseline.
func Compare(baseline, runs []Run) (rows []Row, err error) {
	before := groups(baseline)
	for _, g := range groups(runs) {
		i := slices.IndexFunc(before, func(b *group) bool { return b.point == g.point && b.side == g.side })
		if i < 0 {
			continue
		}
		for _, m := range Metrics {
			d := pairedDifference(m, g, before[i])
			if d.N == 0 {
				return nil, fmt.Errorf("point %q, side %q: the two results have no seed in common", g.point, g.side)
			}
			rows = append(rows, Row{
				Point: g.point, Side: g.side, Metric: m.Name, Value: g.estimate(m), Baseline: "before", Difference: d,
				Verdict: verdict(d, m.Direction),
			})
		}
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("the two results have no point and side in common")
	}
	return rows, nil
}

// formatNumber formats a number for a table, with about three significant digits.
func formatNumber(x float64) string {
	switch {
	case math.IsNaN(x):
		return "?"
	case math.Abs(x) >= 100:
		return strconv.FormatFloat(x, 'f', 0, 64)
	case math.Abs(x) >= 10:
		return strconv.FormatFloat(x, 'f', 1, 64)
	}
	return strconv.FormatFloat(x, 'f', 3, 64)
}

func (e Estimate) String() string {
	if math.IsNaN(e.HalfWidth) {
		return formatNumber(e.Mean)
	}
	return formatNumber(e.Mean) + " ±" + formatNumber(e.HalfWidth)
}

// Markdown writes rows as a Markdown table with a line for each point and side and a column for each metric.
// A cell contains the estimate, the verdict and a significant difference.
func Markdown(out io.Writer, rows []Row) error {
	var b strings.Builder
	b.WriteString("| point | side |")
	for _, m := range Metrics {
		b.WriteString(" " + m.Name + " |")
	}
	b.WriteString("\n| --- | --- |" + strings.Repeat(" --- |", len(Metrics)) + "\n")
	for i, r := range rows {
		if i == 0 || rows[i-1].Point != r.Point || rows[i-1].Side != r.Side {
			point := r.Point
			if point == "" {
				point = "-"
			}
			fmt.Fprintf(&b, "| %s | %s |", point, r.Side)
		}
		fmt.Fprintf(&b, " %v", r.Value)
		if r.Verdict == "better" || r.Verdict == "worse" || r.Verdict == "more" || r.Verdict == "less" {
			sign := ""
			if r.Difference.Mean > 0 {
				sign = "+"
			}
			fmt.Fprintf(&b, ", %s (%s%v)", r.Verdict, sign, r.Difference)
		} else if r.Verdict != "" {
			fmt.Fprintf(&b, ", %s", r.Verdict)
		}
		b.WriteString(" |")
		if i == len(rows)-1 || rows[i+1].Point != r.Point || rows[i+1].Side != r.Side {
			b.WriteString("\n")
		}
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// CSV writes rows as CSV with a header line.
func CSV(out io.Writer, rows []Row) error {
	w := csv.NewWriter(out)
	// The writer keeps the first error, which is returned at the end.
	number := func(x float64) string { return strconv.FormatFloat(x, 'g', 8, 64) }
	_ = w.Write([]string{
		"point", "side", "metric", "seeds", "mean", "half_width", "against", "difference", "difference_half_width", "verdict",
	})
	for _, r := range rows {
		_ = w.Write([]string{
			r.Point, r.Side, r.Metric, strconv.Itoa(r.Value.N), number(r.Value.Mean), number(r.Value.HalfWidth), r.Baseline,
			number(r.Difference.Mean), number(r.Difference.HalfWidth), r.Verdict,
		})
	}
	w.Flush()
	return w.Error()
}
