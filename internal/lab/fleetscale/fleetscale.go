// Package fleetscale runs real control processes on loopback beside hollow sidecars and endpoints, many of which share
// this process: hollow sidecars subscribe, acknowledge and report demand, hollow endpoints beat and drain. It measures
// what the control plane costs at a size, and how long news takes.
package fleetscale

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/feed"
	"dykering/internal/lab/loopback"
)

// Options of a run.
type Options struct {
	Program   string // the built dykering
	Controls  int
	Sidecars  int
	Endpoints int
	Models    int
	Adapters  int
	Routes    int
	Changes   int
	Steady    time.Duration // for which costs are measured
}

// Times of news, over all sidecars.
type Times struct{ P50, P99, Last time.Duration }

// Cost of one control process.
type Cost struct {
	CoreShare float64 // of one core
	MemoryMB  float64
}

// Report of a run.
type Report struct {
	Options          Options
	Controls         []Cost
	JoinLast         time.Duration // from the first subscription until all have everything
	Change           Times         // from the operator's call to in force
	ChangeAck        Times
	RestartChange    Times // like Change, while a part of the sidecars restarts
	RestartReady     Times // from a sidecar's restart until it has a configuration and endpoints
	Drain            Times // from the heartbeat to heard
	SidecarBytesPerS float64
	SidecarMsgsPerS  float64
	WholeBytes       float64       // that a joining sidecar gets
	AfterKill        time.Duration // from the kill of a control process until every sidecar has a stream again
	AfterKillAck     time.Duration // and until a change is acknowledged
}

const (
	heartbeat   = 1200 * time.Millisecond
	contactMs   = 3000
	startWithin = 20 * time.Second
	callWithin  = 2 * time.Second
)

// control is a running control process.
type control struct {
	cmd      *exec.Cmd
	internal string
	external string
	settings string
}

// run is one run.
type run struct {
	options  Options
	folder   string
	controls []*control
	sidecars []*sidecar
	beats    *endpoints
	operator *operator
}

// Run plays a run.
func Run(ctx context.Context, options Options, progress func(string)) (*Report, error) {
	feed.Register()
	folder, err := os.MkdirTemp("", "dykering-scale-")
	if err != nil {
		return nil, errors.Wrap(err, "scale")
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{options: options, folder: folder}
	defer r.stop()
	if err := r.startControls(); err != nil {
		return nil, err
	}
	r.operator = newOperator(r.controls)
	if err := r.operator.change(ctx, r.document()); err != nil {
		return nil, err
	}
	progress("the control plane has its first configuration")
	r.beats = newEndpoints(ctx, r.controls, options)
	if err := r.beats.settle(ctx); err != nil {
		return nil, err
	}
	progress("all endpoints have been heard")
	report := &Report{Options: options}
	if err := r.join(ctx, report); err != nil {
		return nil, err
	}
	progress("all sidecars have joined")
	r.steady(ctx, report)
	progress("costs are measured")
	if err := r.changes(ctx, report); err != nil {
		return nil, err
	}
	if err := r.restarts(ctx, report); err != nil {
		return nil, err
	}
	progress("restarts are measured")
	r.drains(ctx, report)
	progress("news is measured")
	return report, r.kill(ctx, report)
}

func (r *run) startControls() error {
	_, port, err := net.SplitHostPort(loopback.Address())
	if err != nil {
		return errors.Wrap(err, "scale")
	}
	_, external, err := net.SplitHostPort(loopback.Address())
	if err != nil {
		return errors.Wrap(err, "scale")
	}
	var seeds []string
	for i := range r.options.Controls {
		host := fmt.Sprintf("127.%d.%d.%d", 160+i, os.Getpid()>>8&0xff, os.Getpid()&0xff)
		r.controls = append(r.controls, &control{internal: net.JoinHostPort(host, port), external: net.JoinHostPort(host, external)})
		if i < 3 {
			seeds = append(seeds, strconv.Quote(net.JoinHostPort(host, external)))
		}
	}
	for i, c := range r.controls {
		c.settings = filepath.Join(r.folder, fmt.Sprintf("control-%d.toml", i))
		if err := os.WriteFile(c.settings, []byte(settingsText(i, c, strings.Join(seeds, ","), r.folder, port)), 0o600); err != nil {
			return errors.Wrap(err, "scale")
		}
		if err := c.start(r.options.Program); err != nil {
			return err
		}
	}
	return nil
}

func settingsText(i int, c *control, seeds, folder, port string) string {
	host, _, _ := net.SplitHostPort(c.internal)
	return fmt.Sprintf(`node_name = "control-%d"
role = "control"
ip_address = %q
zone = "z%d"
internal_port_range = [%s,%s]
seed_nodes = [%s]
initial_start = true
data_directory = %q
heartbeat_interval_ms = %d
[listen_addresses]
control_plane = %q
[limits]
cpu_cores = 1
memory_mb = 256
disk_mb = 128
[fault_tolerance]
machine_failures = 1
[bounds]
contact_ms = %d
`, i, host, i, port, port, seeds, filepath.Join(folder, fmt.Sprintf("data-%d", i)), heartbeat.Milliseconds(), c.external, contactMs)
}

func (c *control) start(program string) error {
	c.cmd = exec.Command(program, "control")
	c.cmd.Env = append(os.Environ(), "DYKERING_NODE_FILE="+c.settings)
	return errors.Wrap(c.cmd.Start(), "control process")
}

func (r *run) stop() {
	for _, c := range r.controls {
		if c.cmd != nil && c.cmd.Process != nil {
			c.cmd.Process.Kill()
			c.cmd.Wait()
		}
	}
}
