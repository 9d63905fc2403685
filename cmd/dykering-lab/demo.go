package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dykering/internal/lab/real"
	"dykering/internal/sidecar"
)

const (
	demoServers = 5
	demoCores   = 4
	demoTook    = 40 * time.Millisecond
	demoRate    = 150.0
	// readyFor is how long a process of the broker may take until it can serve, and endFor until it has ended.
	readyFor = 5 * time.Second
	endFor   = 6 * time.Second
)

// demoSettings are what the platform would say.
const demoSettings = `{"allowed":{"cancel":true,"connIdle":30000000,"connectTimeout":500000,"maxRetryAfter":2000000,
"openCap":2000,"retryAfter":true,"sendCap":4},"discovery":"push","instances":1,"ordinal":0,"quantum":2000,"stage":0,
"rules":{"cold":2000000,"coldFrom":0.3,"drainGrace":1000000,"fall":1000000,"graceToAnswer":20000,"tipMultiple":3},
"services":[{"name":"read","aim":500000,"deadline":2000000,"effect":"read_like","gain":1},
{"name":"pay","aim":500000,"deadline":2000000,"effect":"non_idempotent","gain":1}],
"tiers":["front"],"zones":["hall"],"models":["stand-in"]}`

func newDemo() *cobra.Command {
	var lasts time.Duration
	c := &cobra.Command{Use: "demo", Args: cobra.NoArgs,
		Short: "Show the broker on loopback, while servers are drained and killed and a new version takes over",
		RunE: func(c *cobra.Command, _ []string) error {
			if lasts < 4*time.Second || lasts > 10*time.Minute {
				return fmt.Errorf("--lasts %v: from 4s to 10m", lasts)
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			if err := demo(ctx, c.OutOrStdout(), lasts); err != nil {
				return faulty{err}
			}
			return nil
		}}
	c.Flags().DurationVar(&lasts, "lasts", 20*time.Second, "how long callers ask")
	return c
}

// newBroker is the broker itself, as the demo starts it: the same as `dykering run`.
func newBroker() *cobra.Command {
	return &cobra.Command{Use: "broker", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		if err := sidecar.Main(os.Getenv, ""); err != nil {
			return faulty{err}
		}
		return nil
	}}
}

// stage is where a demo plays.
type stage struct {
	dir     string
	file    string   // the platform's
	socket  *os.File // that callers connect to
	url     string
	servers []*real.Server
	places  *real.Discovery
	brokers []*real.Process
}

// setUp starts servers and discovery, and makes the callers' socket.
func setUp() (_ *stage, err error) {
	st := &stage{}
	defer func() {
		if err != nil {
			st.tearDown()
		}
	}()
	if st.dir, err = os.MkdirTemp("", "dykering-demo-"); err != nil {
		return nil, err
	}
	for i := range demoServers {
		s, err := real.StartServer(fmt.Sprintf("server-%08x", i+1), demoCores, demoTook)
		if err != nil {
			return nil, err
		}
		st.servers = append(st.servers, s)
	}
	if st.places, err = real.StartDiscovery(st.servers); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close() // the descriptor below stays
	st.url = "http://" + l.Addr().String()
	if st.socket, err = l.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": "demo", "listen": l.Addr().String(), "discovery": st.places.Address,
		"seed": "a1", "limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 1024},
		"settings": json.RawMessage(demoSettings)})
	if err != nil {
		return nil, err
	}
	st.file = filepath.Join(st.dir, "config.json")
	return st, os.WriteFile(st.file, text, 0o600)
}

// tearDown ends all that was started.
func (st *stage) tearDown() {
	for _, b := range st.brokers {
		b.End()
	}
	if st.places != nil {
		st.places.Close()
	}
	for _, s := range st.servers {
		s.Kill()
	}
	if st.socket != nil {
		st.socket.Close()
	}
	os.RemoveAll(st.dir)
}

// startBroker starts a process of the broker on the callers' socket, and waits until it can serve.
func (st *stage) startBroker(ctx context.Context) error {
	command, err := brokerCommand("")
	if err != nil {
		return err
	}
	p, err := real.Launch{Command: command, File: st.file, Socket: st.socket, Dir: st.dir,
		Log: filepath.Join(st.dir, fmt.Sprintf("broker-%d.log", len(st.brokers)))}.Start()
	if err != nil {
		return err
	}
	st.brokers = append(st.brokers, p)
	return p.Ready(ctx)
}

// act is what happens at a part of the demo's time.
type act struct {
	at   float64
	what string
	do   func() error
}

func (st *stage) acts(ctx context.Context) []act {
	now := func() int64 { return time.Now().UnixMilli() }
	drained, crashed := st.servers[0], st.servers[1]
	return []act{
		{0.15, "server 1 drains", func() error { st.places.Tell(drained, "Terminating", 0); return nil }},
		{0.25, "server 1 ends", func() error { drained.Kill(); st.places.Tell(drained, "Gone", 0); return nil }},
		{0.40, "server 1 is back, cold", func() error {
			err := drained.Start()
			st.places.Tell(drained, "Ready", now())
			return err
		}},
		{0.50, "server 2 is killed, and nobody says so", func() error { crashed.Kill(); return nil }},
		{0.60, "discovery has seen it", func() error { st.places.Tell(crashed, "Gone", 0); return nil }},
		{0.70, "server 2 is back, cold", func() error {
			err := crashed.Start()
			st.places.Tell(crashed, "Ready", now())
			return err
		}},
		{0.80, "a new version takes over", func() error {
			if err := st.startBroker(ctx); err != nil {
				return err
			}
			go st.brokers[0].End()
			return nil
		}},
	}
}

// tally is what came of the requests of one second.
type tally struct {
	asked, served, refused, failed, lost int
	took                                 []time.Duration
	notes                                []string
}

// demo plays it. What is lost is a fault.
func demo(ctx context.Context, out io.Writer, lasts time.Duration) error {
	st, err := setUp()
	if err != nil {
		return err
	}
	defer st.tearDown()
	if err := st.startBroker(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d stand-in servers, %d calls of %v at a time each; %.0f requests a second for %v\n\n", demoServers,
		demoCores, demoTook, demoRate, lasts)
	fmt.Fprintf(out, "%4s %6s %6s %7s %6s %5s %7s %7s\n", "s", "asked", "served", "refused", "failed", "lost", "p50 ms", "p99 ms")
	var mu sync.Mutex
	seconds := make([]tally, 1+int(lasts.Seconds()))
	asking, stop := context.WithTimeout(ctx, lasts)
	defer stop()
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		l := real.Load{URL: st.url, Rate: demoRate, Left: 2 * time.Second, Classes: []string{"read", "read", "pay"}}
		l.Run(asking, func(o real.Outcome) {
			mu.Lock()
			defer mu.Unlock()
			t := &seconds[min(int(o.At.Seconds()), len(seconds)-1)]
			t.count(o)
		})
	}()
	began := time.Now()
	acts := st.acts(ctx)
	shown := 0
	for ended := false; !ended; {
		select {
		case <-loaded:
			ended = true
		case <-time.After(50 * time.Millisecond):
		}
		past := time.Since(began)
		for len(acts) > 0 && past.Seconds() >= acts[0].at*lasts.Seconds() && asking.Err() == nil {
			if err := acts[0].do(); err != nil {
				return fmt.Errorf("%s: %w", acts[0].what, err)
			}
			mu.Lock()
			t := &seconds[min(int(past.Seconds()), len(seconds)-1)]
			t.notes = append(t.notes, acts[0].what)
			mu.Unlock()
			acts = acts[1:]
		}
		mu.Lock()
		// A second is shown when what was asked in it has its answer.
		for shown < len(seconds) && (ended || past > time.Duration(shown+3)*time.Second) {
			seconds[shown].show(out, shown)
			shown++
		}
		mu.Unlock()
	}
	return sumUp(out, seconds)
}

func (t *tally) count(o real.Outcome) {
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

// quantile is the time within which a part was answered, in milliseconds.
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

// sumUp says what came of all, with a chart of the service in each second.
func sumUp(out io.Writer, seconds []tally) error {
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
	fmt.Fprintf(out, "%d asked, %d served, %d refused (trying again is harmless), %d failed (may have run), %d lost; p50 %.0f ms, p99 %.0f ms\n",
		all.asked, all.served, all.refused, all.failed, all.lost, all.quantile(0.5), all.quantile(0.99))
	if all.lost > 0 {
		return fmt.Errorf("%d requests got no answer", all.lost)
	}
	return nil
}
