package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/load"
)

// progressInterval is the time between two updates of the progress bar.
const progressInterval = 200 * time.Millisecond

func newLoad() *cli.Command {
	l := &load.Load{}
	var classes, teams []string
	var asJSON bool
	c := &cli.Command{
		Name: "load", ArgsUsage: "URL", Usage: "Send a fixed load to an HTTP/1.1 address, regardless of its answers (open loop)",
		DisableSliceFlagSeparator: true, // the values of --class and --team contain commas
		Action: commandline.Args(1, 1, func(ctx context.Context, c *cli.Command, args []string) error {
			u, err := url.Parse(args[0])
			if err != nil || u.Scheme != "http" || u.Host == "" {
				return fmt.Errorf("%q is not an http:// address", args[0])
			}
			l.URL = args[0]
			if l.Classes, err = parseClasses(classes); err != nil {
				return err
			}
			if l.Teams, err = parseTeams(teams); err != nil {
				return err
			}
			l.Run = fmt.Sprintf("load-%x", time.Now().UnixNano()) // request ids must be new to the server
			p := newProgress(c.Root().ErrWriter, l.Profile.Lasts)
			l.OnOutcome = p.record
			stop := p.show()
			r, err := l.Play(ctx)
			stop()
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.Root().Writer).Encode(r)
			}
			printLoad(c.Root().Writer, r)
			if r.All.Asked > 0 && r.All.Lost == r.All.Asked {
				return commandline.Failure(errors.New("not one request was answered"))
			}
			return nil
		}),
	}
	c.Flags = []cli.Flag{
		&cli.StringFlag{Name: "profile", Value: load.Steady, Usage: "the shape of the rate: steady, ramp, step or spike", Destination: &l.Profile.Kind},
		&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests a second at the start, or outside of the spike", Destination: &l.Profile.Rate},
		&cli.FloatFlag{Name: "to", Usage: "requests a second at the end, in the last step, or in the spike", Destination: &l.Profile.To},
		&cli.IntFlag{Name: "steps", Value: 5, Usage: "number of steps of a step profile", Destination: &l.Profile.Steps},
		&cli.DurationFlag{Name: "lasts", Value: 10 * time.Second, Usage: "the duration of the load", Destination: &l.Profile.Lasts},
		&cli.StringSliceFlag{Name: "class", Value: []string{"read"}, Usage: "NAME[,method=GET][,share=0.5][,left=2s][,keyed][,body=100]; several for a mix", Destination: &classes},
		&cli.StringSliceFlag{Name: "team", Usage: "NAME[,share=0.5]; several for a mix", Destination: &teams},
		&cli.BoolFlag{Name: "poisson", Usage: "send requests at random times (Poisson process) instead of evenly spaced", Destination: &l.Poisson},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the random seed", Destination: &l.Seed},
		&cli.IntFlag{Name: "most", Value: 10000, Usage: "maximum number of requests in flight; further ones are counted but not sent", Destination: &l.MaxInFlight},
		&cli.IntFlag{Name: "connections", Usage: "maximum number of connections; 0 for no limit", Destination: &l.Conns},
		&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &asJSON},
	}
	return c
}

// parseOptions parses NAME,key=value,… and calls each for every option. It returns the name.
func parseOptions(text string, each func(key, value string) error) (name string, err error) {
	for i, part := range strings.Split(text, ",") {
		if i == 0 {
			name = part
			continue
		}
		key, value, _ := strings.Cut(part, "=")
		if err := each(key, value); err != nil {
			return "", fmt.Errorf("%q: %s: %w", text, key, err)
		}
	}
	if name == "" {
		return "", fmt.Errorf("%q: the name is missing", text)
	}
	return name, nil
}

var errUnknownOption = errors.New("the option is not known")

func parseClasses(texts []string) (classes []load.Class, err error) {
	for _, text := range texts {
		c := load.Class{Method: "GET", Share: 1 / float64(len(texts)), Timeout: 2 * time.Second}
		if c.Name, err = parseOptions(text, func(key, value string) (err error) {
			switch key {
			case "method":
				c.Method = value
			case "share":
				c.Share, err = strconv.ParseFloat(value, 64)
			case "left":
				c.Timeout, err = time.ParseDuration(value)
			case "keyed":
				c.Keyed = true
			case "body":
				c.Body, err = strconv.Atoi(value)
			default:
				err = errUnknownOption
			}
			return err
		}); err != nil {
			return nil, err
		}
		classes = append(classes, c)
	}
	return classes, nil
}

func parseTeams(texts []string) (teams []load.Team, err error) {
	for _, text := range texts {
		t := load.Team{Share: 1 / float64(len(texts))}
		if t.Name, err = parseOptions(text, func(key, value string) (err error) {
			if key != "share" {
				return errUnknownOption
			}
			t.Share, err = strconv.ParseFloat(value, 64)
			return err
		}); err != nil {
			return nil, err
		}
		teams = append(teams, t)
	}
	return teams, nil
}

// progress draws a progress bar with the results of a running load.
type progress struct {
	bar   *progressbar.ProgressBar
	lasts time.Duration
	mu    sync.Mutex
	tally tally
}

func newProgress(out io.Writer, lasts time.Duration) *progress {
	return &progress{lasts: lasts, bar: progressbar.NewOptions64(lasts.Milliseconds(), progressbar.OptionSetWriter(out),
		progressbar.OptionSetWidth(30), progressbar.OptionSetPredictTime(false), progressbar.OptionClearOnFinish())}
}

func (p *progress) record(o load.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tally.count(o)
	if len(p.tally.took) >= 10000 {
		p.tally.took = p.tally.took[:0]
	}
}

// show draws the progress bar until the returned function is called.
func (p *progress) show() (stop func()) {
	ended, drawn := make(chan struct{}), make(chan struct{})
	began := time.Now()
	go func() {
		defer close(drawn)
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-ended:
				p.bar.Finish() // a progress bar that cannot be drawn does not stop the load
				return
			case <-tick.C:
				p.mu.Lock()
				t := &p.tally
				text := fmt.Sprintf("%d asked, %d served, %d refused, %d failed, %d lost, p50 %.0f p99 %.0f ms", t.asked, t.served,
					t.refused, t.failed, t.lost, t.quantile(0.5), t.quantile(0.99))
				t.took = t.took[:0]
				p.mu.Unlock()
				p.bar.Describe(text)
				p.bar.Set64(min(time.Since(began), p.lasts).Milliseconds())
			}
		}
	}()
	return func() {
		close(ended)
		<-drawn
	}
}

// maxRows is the approximate maximum number of rows in the load table. Longer loads show every n-th second only.
const maxRows = 60

func printLoad(out io.Writer, r *load.Report) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "s\tasked\tserved\trefused\tfailed\tlost\tp50 ms\tp99 ms\t")
	for i := 0; i < len(r.Seconds); i += 1 + len(r.Seconds)/maxRows {
		if s := r.Seconds[i]; s.Asked > 0 {
			fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", i, s.Asked, s.Served, s.Refused, s.Failed, s.Lost, s.P50, s.P99)
		}
	}
	t.Flush()
	fmt.Fprintln(out)
	fmt.Fprintln(t, "class\tasked\tserved\trefused\tfailed\tlost\tmean ms\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, f := range append(r.Classes, r.All) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", f.Name, f.Asked, f.Served, f.Refused, f.Failed,
			f.Lost, f.Mean, f.P50, f.P90, f.P99, f.P999, f.Max)
	}
	t.Flush()
	fmt.Fprintf(out, "\n%.1f a second over %.1f s; %d not sent because too many were in flight; the longest sending delay was %.1f ms\n",
		float64(r.All.Asked)/r.Took, r.Took, r.Unsent, r.Late)
	for text, n := range r.All.Errors {
		fmt.Fprintf(out, "%d lost: %s\n", n, text)
	}
}
