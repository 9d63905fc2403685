package localsystem

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
	gracePeriod   = 4 * time.Second
	hostCount     = 5 // three control processes, two proxies
	controlCount  = 3
	firstHostByte = 160
)

// settingsText is the settings file of a process.
var settingsText = template.Must(template.New("settings").Parse(`node_name = "{{.Name}}"
ip_address = "{{.IP}}"
zone = "zone-{{.Zone}}"
internal_port_range = [{{.InternalPort}}, {{.InternalPort}}]
seed_nodes = [{{range .Seeds}}"{{.}}",{{end}}]
initial_start = {{.InitialStart}}
{{if .Directory}}data_directory = "{{.Directory}}"{{end}}
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
[bounds]
contact_ms = 1500
acknowledge_ms = 3000
drain_timeout_ms = 1500
grace_period_s = 4
lease_duration_ms = 1500
`))

// Process is one process of the system, which may be started again with another program.
type Process struct {
	Name, IP, Public, Readiness string
	Directory                   string // of a control process
	Zone, InternalPort          int
	Seeds                       []string
	InitialStart                bool

	role    string // the subcommand
	file    string // the settings file
	logFile string
	command *exec.Cmd
	ended   chan struct{}
}

// host returns an address of this process alone.
func host(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstHostByte+index, os.Getpid()>>8&0xff, os.Getpid()&0xff)
}

// newProcesses makes the control processes and the proxies, which are not started yet.
func newProcesses(ctx context.Context, directory string) ([]*Process, error) {
	port, err := freePort(ctx)
	if err != nil {
		return nil, err
	}
	var processes []*Process
	var seeds []string
	for i := range hostCount {
		p := &Process{
			Name: fmt.Sprintf("proxy-%d", i), IP: host(i), Zone: i % controlCount, InternalPort: port, InitialStart: true, role: "proxy",
			Public: fmt.Sprintf("%s:%d", host(i), port+1), Readiness: fmt.Sprintf("%s:%d", host(i), port+2),
		}
		if i < controlCount {
			p.Name, p.role, p.Directory = fmt.Sprintf("control-%d", i), "control", filepath.Join(directory, fmt.Sprint("data-", i))
			seeds = append(seeds, p.Public)
		}
		p.file, p.logFile = filepath.Join(directory, p.Name+".toml"), filepath.Join(directory, p.Name+".log")
		processes = append(processes, p)
	}
	for _, p := range processes {
		p.Seeds = seeds
	}
	return processes, nil
}

// freePort returns a port that is not in use, as the two after it should be.
func freePort(ctx context.Context) (int, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", host(0)+":0")
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
	if err := os.WriteFile(p.file, settings.Bytes(), 0o600); err != nil {
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
	p.command = exec.Command(program.Command[0], append(program.Command[1:len(program.Command):len(program.Command)], p.role)...)
	p.command.Env = append(append(os.Environ(), program.Env...), "DYKERING_NODE_FILE="+p.file)
	p.command.Stdout, p.command.Stderr = log, log
	// The child ends with this process, whatever ends that.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return errors.Wrap(err, p.Name)
	}
	p.InitialStart = false // from the next start on
	command, ended := p.command, make(chan struct{})
	p.ended = ended
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
	case <-time.After(gracePeriod):
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

// internalAddress is where other processes of the system reach this one.
func (p *Process) internalAddress() string { return fmt.Sprintf("%s:%d", p.IP, p.InternalPort) }

// PID returns the id of the process that was started last.
func (p *Process) PID() int { return p.command.Process.Pid }
