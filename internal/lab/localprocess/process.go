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

// Program is how a build is started: its command, and what its environment has beside that of this process.
type Program struct {
	Command []string
	Env     []string
}

const (
	firstHostByte = 160
	zoneCount     = 3
	seedCount     = 3 // as the platform gives to each process
)

// Roles of processes, as the program's subcommands name them.
const (
	Control = "control"
	Proxy   = "proxy"
)

// Bounds are the settings that bound how fast the system reacts, in short form for scenarios of seconds.
type Bounds struct {
	ContactMs, AcknowledgeMs, DrainTimeoutMs, GracePeriodS, LeaseDurationMs, CatchUpS, HistoryS int
}

// ShortBounds are bounds for a scenario of a minute.
func ShortBounds() Bounds {
	return Bounds{
		ContactMs: 1500, AcknowledgeMs: 3000, DrainTimeoutMs: 1500, GracePeriodS: 4, LeaseDurationMs: 1500, CatchUpS: 4, HistoryS: 20,
	}
}

// SiteBounds are the bounds of the sites with a coordination service.
func SiteBounds() Bounds {
	return Bounds{
		ContactMs: 4000, AcknowledgeMs: 5000, DrainTimeoutMs: 2500, GracePeriodS: 8, LeaseDurationMs: 3000, CatchUpS: 6, HistoryS: 20,
	}
}

// Layout says which processes there are.
type Layout struct {
	// Directory has settings, data and logs of the processes.
	Directory         string
	Controls, Proxies int
	// MachineFailures is how many control processes may be lost at once.
	MachineFailures int
	Bounds          Bounds
}

// settingsText is the settings file of a process.
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
memory_mb = 256
file_descriptors = 1000
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
`))

// Process is one process of the system, which may be started again with another program. Its methods are called by one
// goroutine at a time.
type Process struct {
	Name, IP, Public, Readiness string
	// Directory has the data of a control process.
	Directory       string
	Zone            int
	InternalPort    int
	Seeds           []string
	InitialStart    bool
	MachineFailures int
	Bounds          Bounds
	Role            string

	settingsFile string // the settings file
	logFile      string
	command      *exec.Cmd
	ended        chan struct{}
}

// hostAddress returns an address of this process alone.
func hostAddress(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstHostByte+index, os.Getpid()>>8&0xff, os.Getpid()&0xff)
}

// New makes the processes of a layout, first the control processes, which are not started yet.
func New(ctx context.Context, layout Layout) ([]*Process, error) {
	port, err := freePort(ctx)
	if err != nil {
		return nil, err
	}
	var processes []*Process
	var seeds []string
	for i := range layout.Controls + layout.Proxies {
		p := &Process{
			Name: fmt.Sprintf("proxy-%d", i), IP: hostAddress(i), Zone: i % zoneCount, InternalPort: port, InitialStart: true, Role: Proxy,
			Public: fmt.Sprintf("%s:%d", hostAddress(i), port+1), Readiness: fmt.Sprintf("%s:%d", hostAddress(i), port+2),
			MachineFailures: layout.MachineFailures, Bounds: layout.Bounds,
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

// freePort returns a port that is not in use, as the two after it should be.
func freePort(ctx context.Context) (int, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", hostAddress(0)+":0")
	if err != nil {
		return 0, errors.Wrap(err, "port")
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// Start starts the process with a program.
func (p *Process) Start(program Program) error {
	var settings bytes.Buffer
	if err := settingsText.Execute(&settings, p); err != nil {
		return errors.Wrap(err, p.Name)
	}
	if err := os.WriteFile(p.settingsFile, settings.Bytes(), 0o600); err != nil {
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
	// The child ends with this process, whatever ends that.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, p.Name)
	}
	p.InitialStart = false // from the next start on
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait() // how it has ended does not matter
		close(ended)
	}()
	return nil
}

// Stop sends SIGTERM and, after the grace period, SIGKILL, as the platform does.
func (p *Process) Stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-p.ended:
	case <-time.After(time.Duration(p.Bounds.GracePeriodS) * time.Second):
		p.Kill()
	}
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill() // it may have ended
	<-p.ended
}

// InternalAddress is where other processes of the system reach this one.
func (p *Process) InternalAddress() string { return fmt.Sprintf("%s:%d", p.IP, p.InternalPort) }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal) // it may have ended
}

// RemoveData removes the data of a control process that has ended.
func (p *Process) RemoveData() error { return os.RemoveAll(p.Directory) }

// HasEnded reports whether the process has ended since it was last started.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// PID returns the id of the process that was started last.
func (p *Process) PID() int { return p.command.Process.Pid }
