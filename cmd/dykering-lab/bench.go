package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/load"
	"dykering/internal/lab/real"
)

const (
	benchServers = 8
	// benchCores is more than is ever asked of a stand-in server at a time: it bears any number of calls.
	benchCores = 100000
	// warmUpTime is how long each is asked before it counts.
	warmUpTime = 2 * time.Second
	// statsTimeout is how long a process may take to write down what it has allocated.
	statsTimeout = 2 * time.Second
	// clockTicksPerSecond is how many clock clockTicksPerSecond of /proc a second has: USER_HZ, 100 on Linux whatever the kernel's own (proc(5)).
	clockTicksPerSecond = 100
)

// measurement is what came of one way to the servers.
type measurement struct {
	Way         string  `json:"way"`
	P50         float64 `json:"p50"` // milliseconds, at a steady rate
	P99         float64 `json:"p99"`
	P999        float64 `json:"p999"`
	Unserved    int     `json:"unserved"`  // at that rate
	PerSecond   float64 `json:"perSecond"` // with all callers busy
	Refused     int     `json:"refused"`   // of them, or failed
	PerCore     float64 `json:"perCore"`   // requests for each second of the process's processor time
	Allocs      float64 `json:"allocs"`    // for each request
	AllocBytes  float64 `json:"allocBytes"`
	IdleBytes   float64 `json:"idleBytes"`   // in use for each idle connection
	BusyBytes   float64 `json:"busyBytes"`   // for each connection with a request under way
	IdleResided float64 `json:"idleResided"` // the same of resident memory
	BusyResided float64 `json:"busyResided"`
}

// bench is what is measured, and how much of it.
type bench struct {
	Callers     int
	ServerTime  time.Duration // of a server for an answer
	Rate        float64
	Duration    time.Duration
	Connections int
}

func newBench() *cli.Command {
	b := &bench{}
	var asJSON bool
	var program string
	c := &cli.Command{
		Name:  "proxy",
		Usage: "Direct calls, the standard library's reverse proxy with random choice, and the broker, on the same servers",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error {
			got, err := b.run(ctx, program, c.Root().ErrWriter)
			if err != nil {
				return commandline.Failure(err)
			}
			if asJSON {
				return json.NewEncoder(c.Root().Writer).Encode(got)
			}
			b.print(c.Root().Writer, got)
			return nil
		}),
	}
	c.Flags = []cli.Flag{
		&cli.IntFlag{Name: "callers", Value: 64, Usage: "that ask without rest, for the throughput", Destination: &b.Callers},
		&cli.DurationFlag{Name: "server-time", Value: 20 * time.Millisecond, Usage: "how long a server takes for an answer", Destination: &b.ServerTime},
		&cli.FloatFlag{Name: "rate", Value: 500, Usage: "requests a second, for the times", Destination: &b.Rate},
		&cli.DurationFlag{Name: "lasts", Value: 8 * time.Second, Usage: "how long each is measured", Destination: &b.Duration},
		&cli.IntFlag{Name: "connections", Value: 400, Usage: "for the memory of each", Destination: &b.Connections},
		&cli.StringFlag{Name: "broker", Usage: "the broker's program; without it, the one that is built in", Destination: &program},
		&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &asJSON},
	}
	return &cli.Command{
		Name: "bench", Usage: "Measure the broker beside others", Commands: []*cli.Command{c},
		Action: commandline.MissingCommand,
	}
}

// run measures all ways one after another, so that none is beside another.
func (b *bench) run(ctx context.Context, program string, progress io.Writer) (all []measurement, err error) {
	if b.Callers < 1 || b.Connections < 1 || b.Duration < 100*time.Millisecond || b.Rate <= 0 {
		return nil, errors.New("callers, connections, rate and time have to be above 0")
	}
	for _, way := range []string{"direct", "reverse proxy", "dykering"} {
		fmt.Fprintf(progress, "%s: about %v\n", way, (2*(b.Duration+warmUpTime) + 5*time.Second).Round(time.Second))
		m, err := b.measureSubject(ctx, way, program)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", way, err)
		}
		all = append(all, *m)
	}
	return all, nil
}

// subject is one way to the servers that is measured: none between, the reverse proxy, or the program.
type subject struct {
	name    string
	address func() string
	process *real.Process // nil for the direct way
	site    *real.Site
	stats   string // the file in which a process of this program writes its figures
}

// measureSubject measures one measureSubject to the servers.
func (b *bench) measureSubject(ctx context.Context, way, program string) (_ *measurement, err error) {
	site, targets, err := b.setUpServers()
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, site.Close()) }()
	x := &subject{name: way, address: func() string { return site.URL }, site: site, stats: filepath.Join(site.Dir(), "stats")}
	if err := x.start(ctx, targets, program); err != nil {
		return nil, err
	}
	return b.measure(ctx, x)
}

// setUpServers starts the servers behind all ways, and gives their addresses.
func (b *bench) setUpServers() (*real.Site, []string, error) {
	var servers []*real.Server
	var targets []string
	for i := range benchServers {
		s, err := real.StartServer(fmt.Sprintf("server-%08x", i+1), benchCores, b.ServerTime)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
		targets = append(targets, s.Address())
	}
	site, err := real.NewSite(servers, demoSettings, real.Limits{Cores: 1, MemoryMB: 256, Sockets: 8192})
	return site, targets, err
}

// start starts the process that stands between.
func (x *subject) start(ctx context.Context, targets []string, program string) error {
	var command []string
	switch x.name {
	case "direct":
		var turn atomic.Int64
		x.address = func() string { return "http://" + targets[int(turn.Add(1))%len(targets)] }
		return nil
	case "reverse proxy":
		self, err := os.Executable()
		if err != nil {
			return err
		}
		command = []string{self, "reverse-proxy", strings.Join(targets, ",")}
	default:
		var err error
		if command, err = brokerCommand(program); err != nil {
			return err
		}
	}
	process, err := x.site.StartBroker(ctx, command, statsFileVariable+"="+x.stats)
	x.process = process
	return err
}

// measure takes all figures of one way: throughput after a warm-up, times at a steady rate, memory.
func (b *bench) measure(ctx context.Context, x *subject) (*measurement, error) {
	m := &measurement{Way: x.name}
	c := &callers{address: x.address, way: x.name}
	if _, _, err := c.sendContinuously(ctx, b.Callers, warmUpTime); err != nil {
		return nil, err
	}
	before, err := readUsage(x.process, x.stats)
	if err != nil {
		return nil, err
	}
	served, refused, err := c.sendContinuously(ctx, b.Callers, b.Duration)
	if err != nil {
		return nil, err
	}
	after, err := readUsage(x.process, x.stats)
	if err != nil {
		return nil, err
	}
	m.PerSecond, m.Refused = float64(served)/b.Duration.Seconds(), refused
	if x.process != nil {
		n := float64(served + refused)
		m.PerCore = n / (after.cpu - before.cpu).Seconds()
		m.Allocs, m.AllocBytes = float64(after.Mallocs-before.Mallocs)/n, float64(after.Bytes-before.Bytes)/n
	}
	if err := b.measureLatency(ctx, m, x.address); err != nil {
		return nil, err
	}
	if x.process == nil {
		return m, nil
	}
	return m, b.measureMemory(ctx, m, c, x.site, x.process, x.stats)
}

// measureLatency measures how long answers take at a steady rate.
func (b *bench) measureLatency(ctx context.Context, m *measurement, address func() string) error {
	l := &load.Load{
		URL: address() + "/bench", Profile: load.Profile{Kind: load.Steady, Rate: b.Rate, Lasts: b.Duration}, Most: 10000,
		Run: "times-" + m.Way, Classes: []load.Class{{Name: "read", Share: 1, Method: "GET", Left: 2 * time.Second}},
	}
	r, err := l.Play(ctx)
	if err != nil {
		return err
	}
	m.P50, m.P99, m.P999, m.Unserved = r.All.P50, r.All.P99, r.All.P999, r.All.Asked-r.All.Served
	return nil
}

// measureMemory measures what a connection costs that rests, and one that waits for its answer.
func (b *bench) measureMemory(ctx context.Context, m *measurement, c *callers, site *real.Site, p *real.Process, file string) error {
	time.Sleep(500 * time.Millisecond) // connections of what was before close
	none, err := readUsage(p, file)
	if err != nil {
		return err
	}
	conns, err := c.openIdle(ctx, b.Connections)
	defer func() {
		for _, x := range conns {
			x.Close()
		}
	}()
	if err != nil {
		return err
	}
	idle, err := readUsage(p, file)
	if err != nil {
		return err
	}
	for _, s := range site.Servers {
		s.Pause(true)
	}
	for i, x := range conns {
		if err := c.write(x, fmt.Sprintf("busy-%d", i)); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	busy, err := readUsage(p, file)
	for _, s := range site.Servers {
		s.Pause(false)
	}
	if err != nil {
		return err
	}
	each := func(a, b uint64) float64 { return (float64(b) - float64(a)) / float64(len(conns)) }
	m.IdleBytes, m.BusyBytes = each(none.InUse, idle.InUse), each(none.InUse, busy.InUse)
	m.IdleResided, m.BusyResided = each(none.resident, idle.resident), each(none.resident, busy.resident)
	return nil
}

// processUsage is what a process has used.
type processUsage struct {
	stats
	cpu      time.Duration
	resident uint64
}

// readUsage asks a process what it has allocated, and the kernel what it has used.
func readUsage(p *real.Process, file string) (s processUsage, err error) {
	if p == nil {
		return s, nil
	}
	before, _ := os.Stat(file) // none at first
	if err := p.Signal(syscall.SIGUSR2); err != nil {
		return s, err
	}
	for end := time.Now().Add(statsTimeout); ; time.Sleep(5 * time.Millisecond) {
		now, err := os.Stat(file)
		if err == nil && (before == nil || !os.SameFile(before, now)) {
			break
		}
		if time.Now().After(end) {
			return s, errors.New("the process does not tell what it has allocated")
		}
	}
	text, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(text, &s.stats)
	}
	if err != nil {
		return s, err
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return s, err
	}
	// The second field, a name in parentheses, may hold anything (proc(5)); utime, stime and rss are 14, 15 and 24.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var n [3]uint64
	for i, at := range []int{14, 15, 24} {
		if n[i], err = strconv.ParseUint(fields[at-3], 10, 64); err != nil {
			return s, err
		}
	}
	s.cpu = time.Duration(n[0]+n[1]) * time.Second / clockTicksPerSecond
	s.resident = n[2] * uint64(os.Getpagesize())
	return s, nil
}

func (b *bench) print(out io.Writer, all []measurement) {
	fmt.Fprintf(out, "%d servers that take %v and bear any number of calls; %d callers that never rest, then %.0f requests a second; %v each\n\n",
		benchServers, b.ServerTime, b.Callers, b.Rate, b.Duration)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	direct := all[slices.IndexFunc(all, func(m measurement) bool { return m.Way == "direct" })]
	fmt.Fprintln(t, "way\tserved/s\trefused\tper core s\tadded p50 ms\tp99\tp99.9\tunserved\tallocs\tbytes\tidle conn B\tresident\tbusy conn B\tresident\t")
	for _, m := range all {
		fmt.Fprintf(t, "%s\t%.0f\t%d\t%.0f\t%.2f\t%.2f\t%.2f\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", m.Way, m.PerSecond, m.Refused, m.PerCore,
			m.P50-direct.P50, m.P99-direct.P99, m.P999-direct.P999, m.Unserved, m.Allocs, m.AllocBytes, m.IdleBytes, m.IdleResided,
			m.BusyBytes, m.BusyResided)
	}
	t.Flush()
	fmt.Fprintf(out, "\ndirect: p50 %.2f, p99 %.2f, p99.9 %.2f ms\n", direct.P50, direct.P99, direct.P999)
}
