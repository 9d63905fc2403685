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
	// benchCores is above any number of concurrent calls of a benchmark, so that the servers never limit it.
	benchCores = 100000
	// warmUpTime is the time of load before each measurement.
	warmUpTime = 2 * time.Second
	// statsTimeout bounds the time until a process has written its allocation statistics.
	statsTimeout = 2 * time.Second
	// clockTicksPerSecond is the unit of processor times in /proc: USER_HZ, which is 100 on Linux for any kernel tick rate (proc(5)).
	clockTicksPerSecond = 100
)

// measurement holds the results of one way to reach the servers: directly, or through one of the proxies.
type measurement struct {
	Way         string  `json:"way"`
	P50         float64 `json:"p50"` // latency quantiles at a steady rate, in milliseconds
	P99         float64 `json:"p99"`
	P999        float64 `json:"p999"`
	Unserved    int     `json:"unserved"`  // requests without a successful answer at that rate
	PerSecond   float64 `json:"perSecond"` // throughput with all callers sending continuously
	Refused     int     `json:"refused"`   // refused or failed requests during the throughput measurement
	PerCore     float64 `json:"perCore"`   // requests per second of processor time of the process
	Allocs      float64 `json:"allocs"`    // heap allocations per request
	AllocBytes  float64 `json:"allocBytes"`
	IdleBytes   float64 `json:"idleBytes"`   // memory in use per idle connection
	BusyBytes   float64 `json:"busyBytes"`   // memory in use per connection with a request in flight
	IdleResided float64 `json:"idleResided"` // resident memory per idle connection
	BusyResided float64 `json:"busyResided"`
}

// bench holds the parameters of the proxy benchmark.
type bench struct {
	Callers     int
	ServerTime  time.Duration // time that a server takes for an answer
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
		Usage: "Compare direct calls, the standard library's reverse proxy with random choice, and the broker on the same servers",
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
		&cli.IntFlag{Name: "callers", Value: 64, Usage: "callers that send requests continuously, for the throughput", Destination: &b.Callers},
		&cli.DurationFlag{Name: "server-time", Value: 20 * time.Millisecond, Usage: "the time that a server takes for an answer", Destination: &b.ServerTime},
		&cli.FloatFlag{Name: "rate", Value: 500, Usage: "requests a second, for the latencies", Destination: &b.Rate},
		&cli.DurationFlag{Name: "lasts", Value: 8 * time.Second, Usage: "the duration of each measurement", Destination: &b.Duration},
		&cli.IntFlag{Name: "connections", Value: 400, Usage: "number of connections, for the memory per connection", Destination: &b.Connections},
		&cli.StringFlag{Name: "broker", Usage: "the broker's program (default: the built-in broker)", Destination: &program},
		&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &asJSON},
	}
	return &cli.Command{
		Name: "bench", Usage: "Benchmark the broker against alternatives", Commands: []*cli.Command{c},
		Action: commandline.MissingCommand,
	}
}

// run measures all ways one after another, so that they do not compete for the machine.
func (b *bench) run(ctx context.Context, program string, progress io.Writer) (all []measurement, err error) {
	if b.Callers < 1 || b.Connections < 1 || b.Duration < 100*time.Millisecond || b.Rate <= 0 {
		return nil, errors.New("--callers, --connections and --rate must be above 0, and --lasts at least 100ms")
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

// subject is one measured way to the servers: direct calls, the reverse proxy, or the broker.
type subject struct {
	name    string
	address func() string
	process *real.Process // nil for direct calls
	site    *real.Site
	stats   string // file to which the process writes its allocation statistics
}

// measureSubject starts the servers and the process of one way, and measures it.
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

// setUpServers starts the servers and returns their site and addresses.
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

// start starts the process between callers and servers, if the way has one.
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

// measure takes all measurements of one way: throughput after a warm-up, latencies at a steady rate, and memory.
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

// measureLatency measures the latency quantiles at a steady rate.
func (b *bench) measureLatency(ctx context.Context, m *measurement, address func() string) error {
	l := &load.Load{
		URL: address() + "/bench", Profile: load.Profile{Kind: load.Steady, Rate: b.Rate, Lasts: b.Duration}, MaxInFlight: 10000,
		Run: "times-" + m.Way, Classes: []load.Class{{Name: "read", Share: 1, Method: "GET", Timeout: 2 * time.Second}},
	}
	r, err := l.Play(ctx)
	if err != nil {
		return err
	}
	m.P50, m.P99, m.P999, m.Unserved = r.All.P50, r.All.P99, r.All.P999, r.All.Asked-r.All.Served
	return nil
}

// measureMemory measures the memory per idle connection and per connection with a request in flight.
func (b *bench) measureMemory(ctx context.Context, m *measurement, c *callers, site *real.Site, p *real.Process, file string) error {
	time.Sleep(500 * time.Millisecond) // wait until the connections of earlier measurements are closed
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

// processUsage holds the allocations, processor time and resident memory of a process.
type processUsage struct {
	stats
	cpu      time.Duration
	resident uint64
}

// readUsage requests the allocation statistics of a process by SIGUSR2 and reads its other usage from /proc.
func readUsage(p *real.Process, file string) (s processUsage, err error) {
	if p == nil {
		return s, nil
	}
	before, _ := os.Stat(file) // the file does not exist before the first signal
	if err := p.Signal(syscall.SIGUSR2); err != nil {
		return s, err
	}
	for end := time.Now().Add(statsTimeout); ; time.Sleep(5 * time.Millisecond) {
		now, err := os.Stat(file)
		if err == nil && (before == nil || !os.SameFile(before, now)) {
			break
		}
		if time.Now().After(end) {
			return s, fmt.Errorf("the measured process did not write its statistics within %v", statsTimeout)
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
	// The second field, the command name in parentheses, may contain any character (proc(5)). Fields 14, 15 and 24 are utime, stime
	// and rss.
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
	fmt.Fprintf(out, "%d servers that take %v for any number of concurrent calls; %d callers that send continuously, then %.0f requests a second; %v each\n\n",
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
