package real

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"dykering/internal/lab/loopback"
)

const (
	// readyFor and endFor are how long a process of the broker may take until it can serve, and until it has ended.
	readyFor = 5 * time.Second
	endFor   = 6 * time.Second
	// mostLog is how much of a log an error tells.
	mostLog = 2000
)

// Process is a process of the broker.
type Process struct {
	cmd     *exec.Cmd
	control string
	Log     string        // the file that its log is in
	ended   chan struct{} // closed when it has
	err     error         // with which it ended
}

// Launch is how a process of the broker is started.
type Launch struct {
	Command []string
	File    string   // the platform's configuration
	Socket  *os.File // that callers connect to, held for all processes that share it
	Dir     string   // that those share
	Log     string
	Env     []string // beside
}

// Start starts a process, and does not wait until it can serve.
func (l Launch) Start() (*Process, error) {
	log, err := os.OpenFile(l.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &Process{
		cmd: exec.Command(l.Command[0], l.Command[1:]...), control: loopback.Address(), Log: l.Log,
		ended: make(chan struct{}),
	}
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+l.File, "BALANCER_ACCEPT_FD=3", "BALANCER_CONTROL="+p.control,
		"TMPDIR="+l.Dir)
	p.cmd.Env = append(p.cmd.Env, l.Env...)
	p.cmd.ExtraFiles = []*os.File{l.Socket}
	p.cmd.Stderr = log
	// Nothing is left behind, whatever ends this process.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("the broker: %w", err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// PID is the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ready waits until the process can serve.
func (p *Process) Ready(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyFor)
	defer stop()
	for {
		select {
		case <-p.ended:
			return p.Fault("ended before it could serve")
		default:
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.control+"/-/ready", nil)
		if err != nil {
			return err
		}
		if res, err := http.DefaultClient.Do(r); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Join(p.Fault(fmt.Sprintf("could not serve within %v", readyFor)), context.Cause(ctx))
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Ended is closed when the process has.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Fault says what a process did, with the end of its log.
func (p *Process) Fault(text string) error {
	log, err := os.ReadFile(p.Log)
	if err != nil {
		log = []byte(err.Error())
	}
	log = log[max(len(log)-mostLog, 0):]
	return fmt.Errorf("the broker, process %d, %s (%v); its log is %s:\n%s", p.PID(), text, p.exit(), filepath.Base(p.Log), log)
}

func (p *Process) exit() string {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.String()
	default:
		return "it runs"
	}
}

// Signal sends the process a signal.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Reload has the process read its files again.
func (p *Process) Reload() error { return p.Signal(syscall.SIGHUP) }

// Stall has the process stand still for a while (SIGSTOP).
func (p *Process) Stall(lasts time.Duration) {
	if p.Signal(syscall.SIGSTOP) != nil {
		return // it has ended
	}
	select {
	case <-p.ended:
	case <-time.After(lasts):
		_ = p.Signal(syscall.SIGCONT) // it may have been killed
	}
}

// Drain has the process send its callers away, or ends that.
func (p *Process) Drain(on bool) error {
	what := "resume"
	if on {
		what = "drain"
	}
	client := http.Client{Timeout: readyFor}
	res, err := client.Post("http://"+p.control+"/-/"+what, "", nil)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.ended
}

// End ends the process with SIGTERM and, if it does not heed that, by force.
func (p *Process) End() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended already
	select {
	case <-p.ended:
	case <-time.After(endFor):
		p.Kill()
	}
}
