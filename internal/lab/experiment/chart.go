package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth, chartHeight = 18 * vg.Centimeter, 9 * vg.Centimeter
	// maxTimeCharts is the number of charts over time. The first points have one each.
	maxTimeCharts = 24
)

// chart is a rendered chart. Name is the name of its file without the extension.
type chart struct {
	Name string
	SVG  []byte
}

// render renders a plot as SVG.
func render(name string, p *plot.Plot) (c chart, err error) {
	w, err := p.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return c, err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return c, err
	}
	return chart{name, b.Bytes()}, nil
}

// intervals holds means with their confidence intervals, at positions on the x axis.
type intervals struct {
	plotter.XYs
	plotter.YErrors
}

// chartOverPoints draws a metric over the points of an experiment, with a line for each side.
func chartOverPoints(e *Experiment, metric string, rows []Row) (chart, error) {
	p := plot.New()
	p.Title.Text = e.Name + ": " + metric
	p.Y.Min = 0
	p.Legend.Top = true
	var names []string
	for _, x := range e.points() {
		names = append(names, strings.TrimSpace(x.name))
	}
	for i, s := range e.Sides {
		var d intervals
		for _, r := range rows {
			if r.Side != s.Name || r.Metric != metric || math.IsNaN(r.Value.Mean) {
				continue
			}
			x := float64(slices.Index(names, r.Point)) + 0.06*(float64(i)-float64(len(e.Sides)-1)/2)
			d.XYs = append(d.XYs, plotter.XY{X: x, Y: r.Value.Mean})
			halfWidth := r.Value.HalfWidth
			if math.IsNaN(halfWidth) {
				halfWidth = 0
			}
			d.YErrors = append(d.YErrors, struct{ Low, High float64 }{halfWidth, halfWidth})
		}
		if len(d.XYs) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(d.XYs)
		if err != nil {
			return chart{}, err
		}
		bars, err := plotter.NewYErrorBars(d)
		if err != nil {
			return chart{}, err
		}
		line.Color, dots.Color, bars.Color = plotutil.Color(i), plotutil.Color(i), plotutil.Color(i)
		dots.Shape = plotutil.Shape(i)
		p.Add(line, dots, bars)
		p.Legend.Add(s.Name, line, dots)
	}
	p.NominalX(names...)
	return render(strings.ReplaceAll(metric, " ", "-"), p)
}

// chartOverTime draws the share of served requests in each second, as the mean over the seeds, with a line for
// each side.
func chartOverTime(e *Experiment, n int, at point, runs []Run) (chart, error) {
	p := plot.New()
	p.Title.Text = strings.TrimSpace(e.Name + " " + at.name + ": service over time")
	p.X.Label.Text, p.Y.Label.Text = "s", "share of requests served"
	p.Y.Min, p.Y.Max = 0, 1.02
	for i, s := range e.Sides {
		var sums, counts []float64
		for _, r := range runs {
			if r.Side != s.Name || r.Point != at.name {
				continue
			}
			for k, second := range r.Result.Seconds {
				if k >= len(sums) {
					sums, counts = append(sums, 0), append(counts, 0)
				}
				if second.Offered > 0 {
					sums[k] += float64(second.Served) / float64(second.Offered)
					counts[k]++
				}
			}
		}
		var xy plotter.XYs
		for k := range sums {
			if counts[k] > 0 {
				xy = append(xy, plotter.XY{X: float64(k), Y: sums[k] / counts[k]})
			}
		}
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return chart{}, err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	return render(fmt.Sprintf("time-%d", n), p)
}

// page is an HTML page that contains its charts and refers to no other file.
var page = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:80em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .5em;text-align:right}td:first-child,td:nth-child(2){text-align:left}.better{color:#064}.worse{color:#a00}svg{max-width:100%;height:auto}</style>
<h1>{{.Name}}</h1>
<p>{{.About}}</p>
<table><tr><th>point<th>side<th>metric<th>seeds<th>mean<th>against<th>difference<th></tr>
{{range .Rows}}<tr><td>{{.Point}}<td>{{.Side}}<td>{{.Metric}}<td>{{.Value.N}}<td>{{.Value}}<td>{{.Baseline}}<td>{{if .Baseline}}{{.Difference}}{{end}}<td class="{{.Verdict}}">{{.Verdict}}</tr>
{{end}}</table>
{{range .Pictures}}<p>{{.}}</p>
{{end}}`))

// Write writes the results of an experiment into a folder: table.md, table.csv, index.html and the charts as
// SVG. It returns the rows of the tables.
func (e *Experiment) Write(dir string, runs []Run) ([]Row, error) {
	rows := e.Summary(runs)
	var charts []chart
	for _, m := range []string{"service", "back s", "p99 ms"} {
		c, err := chartOverPoints(e, m, rows)
		if err != nil {
			return nil, err
		}
		charts = append(charts, c)
	}
	for i, p := range e.points() {
		if i >= maxTimeCharts {
			break
		}
		c, err := chartOverTime(e, i, p, runs)
		if err != nil {
			return nil, err
		}
		charts = append(charts, c)
	}
	about := fmt.Sprintf("Scenario %s, engine %s, %d seeds from %d. Means with 95%% confidence intervals (Student's t); differences are paired by seed.",
		filepath.Base(e.Scenario), e.Engine, e.Seeds, e.FirstSeed)
	var pictures []template.HTML
	for _, c := range charts {
		svg := string(c.SVG)
		// The SVG was rendered above, so it needs no escaping. The XML declaration before it is cut off.
		pictures = append(pictures, template.HTML(svg[max(strings.Index(svg, "<svg"), 0):]))
		if err := os.WriteFile(filepath.Join(dir, c.Name+".svg"), c.SVG, 0o644); err != nil {
			return nil, err
		}
	}
	write := func(name string, format func(io.Writer) error) error {
		var b bytes.Buffer
		if err := format(&b); err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(dir, name), b.Bytes(), 0o644)
	}
	if err := write("table.md", func(w io.Writer) error {
		fmt.Fprintf(w, "# %s\n\n%s\n\n", e.Name, about)
		return Markdown(w, rows)
	}); err != nil {
		return nil, err
	}
	if err := write("table.csv", func(w io.Writer) error { return CSV(w, rows) }); err != nil {
		return nil, err
	}
	return rows, write("index.html", func(w io.Writer) error {
		return page.Execute(w, map[string]any{"Name": e.Name, "About": about, "Rows": rows, "Pictures": pictures})
	})
}
