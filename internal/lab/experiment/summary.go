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

// confidence is that of all intervals.
const confidence = 0.95

// Metric is a figure of a run.
type Metric struct {
	Name   string
	Better int // 1 where more is better, -1 where less is, 0 where it is not said
	Of     func(*model.Result) float64
}

// Metrics are those that are summed up.
var Metrics = []Metric{
	{"service", 1, func(r *model.Result) float64 { return r.Service }},
	{"worst s", 1, func(r *model.Result) float64 { return r.WorstSecond }},
	{"others", 1, (*model.Result).NonFloodingService},
	{"back s", -1, func(r *model.Result) float64 {
		if r.RecoverySeconds < 0 {
			return float64(len(r.Seconds)) // never: longer than the run
		}
		return r.RecoverySeconds
	}},
	{"p50 ms", -1, func(r *model.Result) float64 { return 1000 * r.P50 }},
	{"p99 ms", -1, func(r *model.Result) float64 { return 1000 * r.P99 }},
	{"attempts", 0, func(r *model.Result) float64 { return float64(r.Attempts) / float64(max(r.Offered, 1)) }},
	{"connects", 0, func(r *model.Result) float64 { return float64(r.Connects) / float64(max(r.Offered, 1)) }},
	{"refused", 0, func(r *model.Result) float64 { return float64(r.Refused) / float64(max(r.Offered, 1)) }},
	{"broken", -1, func(r *model.Result) (n float64) {
		for _, k := range r.ViolationCounts {
			n += float64(k)
		}
		return n
	}},
}

// Estimate is a mean with the half width of its interval of confidence; that is NaN for a single value.
type Estimate struct {
	N               int
	Mean, HalfWidth float64
}

// EstimateOf gives the mean of values with its interval, by Student's t distribution: few seeds, and a spread that is not known.
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

// verdict says what a paired difference means.
func verdict(d Estimate, better int) string {
	switch {
	case math.IsNaN(d.HalfWidth):
		return "too few seeds"
	case math.Abs(d.Mean) <= d.HalfWidth || d.Mean == 0:
		return "noise"
	case better == 0 && d.Mean > 0:
		return "more"
	case better == 0:
		return "less"
	case (d.Mean > 0) == (better > 0):
		return "better"
	}
	return "worse"
}

// Row is a metric of a side at a point, and by how much it differs, seed by seed, from what it is compared with.
type Row struct {
	Point, Side, Metric string
	Is                  Estimate
	Against             string // the side that it is compared with; "" for none
	Differs             Estimate
	Verdict             string
}

// byPoint are runs in the order in which their points and sides came.
type group struct {
	point, side string
	runs        map[uint64]*model.Result
}

func groups(runs []Run) (all []*group) {
	at := map[[2]string]*group{}
	for _, r := range runs {
		key := [2]string{r.Point, r.Side}
		g := at[key]
		if g == nil {
			g = &group{r.Point, r.Side, map[uint64]*model.Result{}}
			at[key] = g
			all = append(all, g)
		}
		g.runs[r.Seed] = r.Result
	}
	return all
}

// compared are two groups, seed by seed.
func compared(m Metric, of, with *group) Estimate {
	var d []float64
	for _, seed := range seeds(of) {
		if other := with.runs[seed]; other != nil {
			d = append(d, m.Of(of.runs[seed])-m.Of(other))
		}
	}
	return EstimateOf(d)
}

func seeds(g *group) (all []uint64) {
	for seed := range g.runs {
		all = append(all, seed)
	}
	slices.Sort(all)
	return all
}

// Summary is of an experiment's runs: each side against the first of its point.
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
				row := Row{Point: p.name, Side: s.Name, Metric: m.Name, Is: g.estimate(m)}
				if i > 0 && first != nil {
					row.Against, row.Differs = first.side, compared(m, g, first)
					row.Verdict = verdict(row.Differs, m.Better)
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
		values = append(values, m.Of(g.runs[seed]))
	}
	return EstimateOf(values)
}

// Compare is of two folders of results: each side and point that both have, the second against the first.
func Compare(a, b []Run) (rows []Row, err error) {
	before := groups(a)
	for _, g := range groups(b) {
		i := slices.IndexFunc(before, func(x *group) bool { return x.point == g.point && x.side == g.side })
		if i < 0 {
			continue
		}
		for _, m := range Metrics {
			d := compared(m, g, before[i])
			if d.N == 0 {
				return nil, fmt.Errorf("%s, side %s: no seed in both", g.point, g.side)
			}
			rows = append(rows, Row{
				Point: g.point, Side: g.side, Metric: m.Name, Is: g.estimate(m), Against: "before", Differs: d,
				Verdict: verdict(d, m.Better),
			})
		}
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("they have no point and side in common")
	}
	return rows, nil
}

// figure is a number in a table.
func figure(x float64) string {
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
		return figure(e.Mean)
	}
	return figure(e.Mean) + " ±" + figure(e.HalfWidth)
}

// Markdown writes rows as a table: a line for each point and side, a column for each metric, with what it differs by.
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
		fmt.Fprintf(&b, " %v", r.Is)
		if r.Verdict == "better" || r.Verdict == "worse" || r.Verdict == "more" || r.Verdict == "less" {
			sign := ""
			if r.Differs.Mean > 0 {
				sign = "+"
			}
			fmt.Fprintf(&b, ", %s (%s%v)", r.Verdict, sign, r.Differs)
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

// CSV writes rows, one a line.
func CSV(out io.Writer, rows []Row) error {
	w := csv.NewWriter(out)
	// An error of a write is kept by the writer and returned at the end.
	number := func(x float64) string { return strconv.FormatFloat(x, 'g', 8, 64) }
	_ = w.Write([]string{"point", "side", "metric", "seeds", "mean", "half_width", "against", "difference", "difference_half_width", "verdict"})
	for _, r := range rows {
		_ = w.Write([]string{
			r.Point, r.Side, r.Metric, strconv.Itoa(r.Is.N), number(r.Is.Mean), number(r.Is.HalfWidth), r.Against,
			number(r.Differs.Mean), number(r.Differs.HalfWidth), r.Verdict,
		})
	}
	w.Flush()
	return w.Error()
}
