package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/load"
	"dykering/internal/lab/real"
	"dykering/internal/sidecar"
)

const (
	demoServers    = 5
	demoCores      = 4
	demoServerTime = 40 * time.Millisecond
	demoRate       = 150.0
)

// demoSettings is the settings document that the platform would provide.
const demoSettings = `{"allowed":{"cancel":true,"connIdle":30000000,"connectTimeout":500000,"maxRetryAfter":2000000,
"openCap":2000,"retryAfter":true,"sendCap":4},"discovery":"push","instances":1,"ordinal":0,"quantum":2000,"stage":0,
"rules":{"cold":2000000,"coldFrom":0.3,"drainGrace":1000000,"fall":1000000,"graceToAnswer":20000,"tipMultiple":3},
"services":[{"name":"read","aim":500000,"deadline":2000000,"effect":"read_like","gain":1},
{"name":"pay","aim":500000,"deadline":2000000,"effect":"non_idempotent","gain":1}],
"tiers":["front"],"zones":["hall"],"models":["stand-in"]}`

func newDemo() *cli.Command {
	var lasts time.Duration
	c := &cli.Command{
		Name:  "demo",
		Usage: "Show the broker on loopback, while servers are drained and killed and a new version takes over",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error {
			if lasts < 4*time.Second || lasts > 10*time.Minute {
				return fmt.Errorf("--lasts %v: must be from 4s to 10m", lasts)
			}
			if err := demo(ctx, c.Root().Writer, lasts); err != nil {
				return commandline.Failure(err)
			}
			return nil
		}),
	}
	c.Flags = []cli.Flag{
		&cli.DurationFlag{Name: "lasts", Value: 20 * time.Second, Usage: "the duration of the load", Destination: &lasts},
	}
	return c
}

// newBroker returns the hidden command that runs the broker, like `dykering run`. The demo starts it as a process.
func newBroker() *cli.Command {
	var operator string
	c := &cli.Command{Name: "broker", Hidden: true, Action: commandline.NoArgs(func(_ context.Context, _ *cli.Command) error {
		writeStats()
		//nolint:contextcheck // the broker handles its own signals, like the separate program
		if err := sidecar.Main(os.Getenv, operator); err != nil {
			return commandline.Failure(err)
		}
		return nil
	})}
	c.Flags = []cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "the operator's TOML file", Destination: &operator},
	}
	return c
}

// startSite starts the servers and the discovery service of the demo.
func startSite() (*real.Site, error) {
	var servers []*real.Server
	for i := range demoServers {
		s, err := real.StartServer(fmt.Sprintf("server-%08x", i+1), demoCores, demoServerTime)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return real.NewSite(servers, demoSettings, real.Limits{Cores: 1, MemoryMB: 64, Sockets: 1024})
}

// startBroker starts a process of the built-in broker.
func startBroker(ctx context.Context, st *real.Site) error {
	command, err := brokerCommand("")
	if err != nil {
		return err
	}
	_, err = st.StartBroker(ctx, command)
	return err
}

// demoEvent is an event at a given fraction of the demo's duration.
type demoEvent struct {
	fraction    float64
	description string
	trigger     func() error
}

func demoEvents(ctx context.Context, st *real.Site) []demoEvent {
	now := func() int64 { return time.Now().UnixMilli() }
	drained, crashed := st.Servers[0], st.Servers[1]
	return []demoEvent{
		{0.15, "server 1 drains", func() error { st.Discovery.Announce(drained, "Terminating", 0); return nil }},
		{0.25, "server 1 ends", func() error { drained.Kill(); st.Discovery.Announce(drained, "Gone", 0); return nil }},
		{0.40, "server 1 is back, cold", func() error {
			err := drained.Start()
			st.Discovery.Announce(drained, "Ready", now())
			return err
		}},
		{0.50, "server 2 is killed without notice to discovery", func() error { crashed.Kill(); return nil }},
		{0.60, "discovery reports that server 2 is gone", func() error { st.Discovery.Announce(crashed, "Gone", 0); return nil }},
		{0.70, "server 2 is back, cold", func() error {
			err := crashed.Start()
			st.Discovery.Announce(crashed, "Ready", now())
			return err
		}},
		{0.80, "a new version takes over", func() error {
			if err := startBroker(ctx, st); err != nil {
				return err
			}
			go st.Brokers[0].Stop()
			return nil
		}},
	}
}

// tally counts the results of the requests of one second.
type tally struct {
	asked, served, refused, failed, lost int
	took                                 []time.Duration
	notes                                []string
}

// demo plays the demo. It returns an error if a request got no answer.
func demo(ctx context.Context, out io.Writer, lasts time.Duration) (err error) {
	st, err := startSite()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, st.Close()) }()
	if err := startBroker(ctx, st); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d fake servers, each with %d concurrent calls of %v; %.0f requests a second for %v\n\n", demoServers,
		demoCores, demoServerTime, demoRate, lasts)
	fmt.Fprintf(out, "%4s %6s %6s %7s %6s %5s %7s %7s\n", "s", "asked", "served", "refused", "failed", "lost", "p50 ms", "p99 ms")
	d := &demoRun{out: out, lasts: lasts, seconds: make([]tally, 1+int(lasts.Seconds()))}
	loadContext, stop := context.WithTimeout(ctx, lasts)
	defer stop()
	loadResult := make(chan error, 1)
	go func() { loadResult <- d.load(loadContext, st.URL) }()
	if err := d.runEvents(loadContext, demoEvents(ctx, st), loadResult); err != nil {
		return err
	}
	return printSummary(out, d.seconds)
}

// demoRun holds the results of a running demo by second.
type demoRun struct {
	out   io.Writer
	lasts time.Duration

	mu      sync.Mutex // guards the fields below
	seconds []tally
	shown   int
}

// load sends requests until the end of the demo.
func (d *demoRun) load(ctx context.Context, url string) error {
	l := load.Load{
		URL: url + "/demo", Profile: load.Profile{Kind: load.Steady, Rate: demoRate, Lasts: d.lasts}, MaxInFlight: 1000, Run: "demo",
		Classes: []load.Class{
			{Name: "read", Share: 0.67, Method: "GET", Timeout: 2 * time.Second},
			{Name: "pay", Share: 0.33, Method: "POST", Timeout: 2 * time.Second},
		},
		OnOutcome: func(o load.Outcome) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.second(o.At).count(o)
		},
	}
	_, err := l.Play(ctx)
	return err
}

func (d *demoRun) second(at time.Duration) *tally {
	return &d.seconds[min(int(at.Seconds()), len(d.seconds)-1)]
}

// runEvents triggers the events at their times and prints the seconds, until the load has ended.
func (d *demoRun) runEvents(loadContext context.Context, events []demoEvent, loadResult <-chan error) error {
	began := time.Now()
	for {
		var failed error
		ended := false
		select {
		case failed = <-loadResult:
			ended = true
		case <-time.After(50 * time.Millisecond):
		}
		elapsed := time.Since(began)
		for len(events) > 0 && elapsed.Seconds() >= events[0].fraction*d.lasts.Seconds() && loadContext.Err() == nil {
			if err := events[0].trigger(); err != nil {
				return fmt.Errorf("%s: %w", events[0].description, err)
			}
			d.note(elapsed, events[0].description)
			events = events[1:]
		}
		d.show(elapsed, ended)
		if ended {
			return failed
		}
	}
}

func (d *demoRun) note(at time.Duration, description string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.second(at)
	t.notes = append(t.notes, description)
}

// show prints each second once its requests are answered, which takes at most their timeout of 2 seconds.
func (d *demoRun) show(elapsed time.Duration, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.shown < len(d.seconds) && (ended || elapsed > time.Duration(d.shown+3)*time.Second) {
		d.seconds[d.shown].show(d.out, d.shown)
		d.shown++
	}
}

func (t *tally) count(o load.Outcome) {
	t.asked++
	t.took = append(t.took, o.Took)
	switch o.Status {
	case http.StatusOK:
		t.served++
	case http.StatusServiceUnavailable:
		t.refused++
	case 0:
		t.lost++
	default:
		t.failed++
	}
}

// quantile returns a latency quantile in milliseconds.
func (t *tally) quantile(q float64) float64 {
	if len(t.took) == 0 {
		return 0
	}
	slices.Sort(t.took)
	return float64(t.took[min(int(q*float64(len(t.took))), len(t.took)-1)].Microseconds()) / 1000
}

func (t *tally) show(out io.Writer, second int) {
	if t.asked > 0 {
		fmt.Fprintf(out, "%4d %6d %6d %7d %6d %5d %7.0f %7.0f  %s\n", second, t.asked, t.served, t.refused, t.failed, t.lost,
			t.quantile(0.5), t.quantile(0.99), strings.Join(t.notes, "; "))
	}
}

// printSummary prints the totals and a chart of the served share of each second. It returns an error if a request got no answer.
func printSummary(out io.Writer, seconds []tally) error {
	var all tally
	levels := []rune(" ▁▂▃▄▅▆▇█")
	chart := ""
	for _, t := range seconds {
		all.asked += t.asked
		all.served += t.served
		all.refused += t.refused
		all.failed += t.failed
		all.lost += t.lost
		all.took = append(all.took, t.took...)
		if t.asked > 0 {
			chart += string(levels[t.served*(len(levels)-1)/t.asked])
		}
	}
	fmt.Fprintf(out, "\nserved |%s| each second\n", chart)
	fmt.Fprintf(out, "%d asked, %d served, %d refused (safe to retry), %d failed (may have been executed), %d lost; p50 %.0f ms, p99 %.0f ms\n",
		all.asked, all.served, all.refused, all.failed, all.lost, all.quantile(0.5), all.quantile(0.99))
	if all.lost > 0 {
		return fmt.Errorf("%d requests got no answer", all.lost)
	}
	return nil
}
