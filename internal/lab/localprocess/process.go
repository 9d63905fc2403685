package localprocess

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"text/template"
	"time"

	"github.com/pkg/errors"
)

// Program is the command that starts a build, and the variables that are added to its environment.
type Program struct {
	Command []string
	Env     []string
}

const (
	firstHostByte = 160
	hostCount     = 90 // loopback addresses of one layout; further processes share them, with ports of their own
	zoneCount     = 3
	seedCount     = 3 // the platform also gives each process three seed nodes
)

// Roles of processes. They are the names of the program's subcommands.
const (
	Control = "control"
	Proxy   = "proxy"
)

// Bounds holds the time bounds of the settings file, within which the system must react.
type Bounds struct {
	ContactMs, AcknowledgeMs, DrainTimeoutMs, GracePeriodS, LeaseDurationMs, CatchUpS, HistoryS int
	// RetryBudgetSlack is the number of retries that all proxies may make in a window beyond the ratio.
	RetryBudgetSlack int
}

// ShortBounds returns bounds for scenarios that last about a minute.
func ShortBounds() Bounds {
	return Bounds{
		ContactMs: 1500, AcknowledgeMs: 3000, DrainTimeoutMs: 1500, GracePeriodS: 4, LeaseDurationMs: 1500, CatchUpS: 4, HistoryS: 20,
	}
}

// SiteBounds returns the bounds of the deployments with a coordination service.
func SiteBounds() Bounds {
	return Bounds{
		ContactMs: 4000, AcknowledgeMs: 5000, DrainTimeoutMs: 2500, GracePeriodS: 8, LeaseDurationMs: 3000, CatchUpS: 6, HistoryS: 20,
	}
}

// Layout describes the processes of a system.
type Layout struct {
	// Directory holds the settings, data and logs of the processes.
	Directory         string
	Controls, Proxies int
	// MachineFailures is the number of simultaneous failures of control processes that the system must tolerate.
	MachineFailures int
	Bounds          Bounds
	// Limits holds the resources of each process. The zero value stands for DefaultLimits.
	Limits Limits
}

// Limits holds the resources that the settings file allows a process.
type Limits struct{ MemoryMB, FileDescriptors int }

// DefaultLimits returns limits that no scenario of ordinary clients meets.
func DefaultLimits() Limits { return Limits{MemoryMB: 256, FileDescriptors: 1000} }

// settingsText is the template of the settings file of a process.
var settingsText = template.Must(template.New("settings").Parse(`node_name = "{{.Name}}"
ip_address = "{{.IP}}"
zone = "zone-{{.Zone}}"
internal_port_range = [{{.InternalPort}}, {{.InternalPort}}]
seed_nodes = [{{range .Seeds}}"{{.}}",{{end}}]
initial_start = {{.InitialStart}}
{{if .Directory}}data_directory = "{{.Directory}}"
counts_for_quorum = true{{end}}
heartbeat_interval_ms = 600
[listen_addresses]
{{if .Directory}}control_plane = "{{.Public}}"
{{else}}frontend = "{{.Public}}"
readiness = "{{.Readiness}}"
{{end}}
[limits]
cpu_cores = 1
memory_mb = {{.Limits.MemoryMB}}
file_descriptors = {{.Limits.FileDescriptors}}
disk_mb = 16
[fault_tolerance]
machine_failures = {{.MachineFailures}}
[bounds]
contact_ms = {{.Bounds.ContactMs}}
acknowledge_ms = {{.Bounds.AcknowledgeMs}}
drain_timeout_ms = {{.Bounds.DrainTimeoutMs}}
grace_period_s = {{.Bounds.GracePeriodS}}
lease_duration_ms = {{.Bounds.LeaseDurationMs}}
catch_up_s = {{.Bounds.CatchUpS}}
history_s = {{.Bounds.HistoryS}}
retry_budget_slack = {{.Bounds.RetryBudgetSlack}}
`))

// Process is one process of the system. It can be restarted with another program. Its methods are not safe for concurrent use.
type Process struct {
	Name, IP, Public, Readiness string
	// Directory holds the data of a control process. It is empty for a proxy.
	Directory       string
	Zone            int
	InternalPort    int
	Seeds           []string
	InitialStart    bool
	MachineFailures int
	Bounds          Bounds
	Limits          Limits
	Role            string

	settingsFile string
	logFile      string
	command      *exec.Cmd
	ended        chan struct{}
}

// hostAddress returns a loopback address for a process. It contains the id of the calling process, so that concurrent test runs
// do not share addresses.
func hostAddress(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstHostByte+index, os.Getpid()>>8&0xff, os.Getpid()&0xff)
}

// New returns the processes of a layout, the control processes first. It does not start them.
func New(ctx context.Context, layout Layout) ([]*Process, error) {
	port, err := freePort(ctx)
	if err != nil {
		return nil, err
	}
	limits := layout.Limits
	if limits == (Limits{}) {
		limits = DefaultLimits()
	}
	var processes []*Process
	var seeds []string
	for i := range layout.Controls + layout.Proxies {
		host, publicPort := hostAddress(i%hostCount), port+1+2*(i/hostCount)
		p := &Process{
			Name: fmt.Sprintf("proxy-%d", i), IP: host, Zone: i % zoneCount, InternalPort: port, InitialStart: true, Role: Proxy,
			Public: fmt.Sprintf("%s:%d", host, publicPort), Readiness: fmt.Sprintf("%s:%d", host, publicPort+1),
			MachineFailures: layout.MachineFailures, Bounds: layout.Bounds, Limits: limits,
		}
		if i < layout.Controls {
			p.Name, p.Role, p.Directory = fmt.Sprintf("control-%d", i), Control, filepath.Join(layout.Directory, fmt.Sprint("data-", i))
			seeds = append(seeds, p.Public)
		}
		p.settingsFile, p.logFile = filepath.Join(layout.Directory, p.Name+".toml"), filepath.Join(layout.Directory, p.Name+".log")
		processes = append(processes, p)
	}
	for _, p := range processes {
		p.Seeds = seeds[:min(len(seeds), seedCount)]
	}
	return processes, nil
}

// freePort returns a port that is not in use. The next ports are assumed to be free as well.
func freePort(ctx context.Context) (int, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", hostAddress(0)+":0")
	if err != nil {
		return 0, errors.Wrap(err, "find a free port")
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// WriteSettings writes the settings file. A process that runs reads it again by itself when needed.
func (p *Process) WriteSettings() error {
	var settings bytes.Buffer
	if err := settingsText.Execute(&settings, p); err != nil {
		return errors.Wrapf(err, "settings of %s", p.Name)
	}
	return os.WriteFile(p.settingsFile, settings.Bytes(), 0o600)
}

// Start writes the settings file and starts the process with a program.
func (p *Process) Start(program Program) error {
	if err := p.WriteSettings(); err != nil {
		return err
	}
	if p.Directory != "" {
		if err := os.MkdirAll(p.Directory, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program.Command[0], append(program.Command[1:len(program.Command):len(program.Command)], p.Role)...)
	command.Env = append(append(os.Environ(), program.Env...), "DYKERING_NODE_FILE="+p.settingsFile)
	command.Stdout, command.Stderr = log, log
	// The kernel kills the child when this process ends, even if this process is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.InitialStart = false // later starts are restarts
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait() // faults kill processes, so any exit status is expected
		close(ended)
	}()
	return nil
}

// Stop sends SIGTERM and, after the grace period, SIGKILL, as the platform does.
func (p *Process) Stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM) // the process may have exited already
	select {
	case <-p.ended:
	case <-time.After(time.Duration(p.Bounds.GracePeriodS) * time.Second):
		p.Kill()
	}
}

// Kill kills the process and waits for its exit. It does nothing if the process was never started.
func (p *Process) Kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill() // the process may have exited already
	<-p.ended
}

// InternalAddress returns the address at which other processes of the system reach this one.
func (p *Process) InternalAddress() string { return fmt.Sprintf("%s:%d", p.IP, p.InternalPort) }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal) // the process may have exited already
}

// RemoveData removes the data directory of a control process, which must have exited.
func (p *Process) RemoveData() error { return os.RemoveAll(p.Directory) }

// HasEnded reports whether the process has exited since its last start.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// PID returns the process id of the last start.
func (p *Process) PID() int { return p.command.Process.Pid }
