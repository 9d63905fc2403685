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
	// readyTimeout is how long a process may take from its start until it can serve.
	readyTimeout = 5 * time.Second
	// stopTimeout is how long a process may take to end after SIGTERM.
	stopTimeout = 6 * time.Second
	// maxLogExcerpt is how many bytes of the end of a log an error quotes.
	maxLogExcerpt = 2000
)

// Process is an operating system process of the broker.
type Process struct {
	cmd *exec.Cmd
	// The control address, for operators' requests.
	control string
	// The path of the log file.
	Log string
	// Closed when the process has ended.
	done chan struct{}
	// The error of cmd.Wait.
	err error
}

// Launch describes how a process of the broker is started.
type Launch struct {
	Command []string
	// The platform's configuration file.
	File string
	// The listening socket, which successive processes share.
	Socket *os.File
	// The directory that these processes share.
	Dir string
	// The path of the log file.
	Log string
	// Additional environment variables.
	Env []string
}

// Start starts a process. It does not wait until the process can serve.
func (l Launch) Start() (*Process, error) {
	log, err := os.OpenFile(l.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &Process{
		cmd: exec.Command(l.Command[0], l.Command[1:]...), control: loopback.Address(), Log: l.Log,
		done: make(chan struct{}),
	}
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+l.File, "BALANCER_ACCEPT_FD=3", "BALANCER_CONTROL="+p.control,
		"TMPDIR="+l.Dir)
	p.cmd.Env = append(p.cmd.Env, l.Env...)
	p.cmd.ExtraFiles = []*os.File{l.Socket}
	p.cmd.Stderr = log
	// The kernel kills the child when this process ends, for whatever reason.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting the broker %s: %w", l.Command[0], err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ready waits until the process can serve.
func (p *Process) Ready(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for {
		select {
		case <-p.done:
			return p.Failure("ended before it could serve")
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
			return errors.Join(p.Failure(fmt.Sprintf("could not serve within %v", readyTimeout)), context.Cause(ctx))
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Failure returns an error that consists of the given text on what the process did, its exit status and
// the end of its log.
func (p *Process) Failure(text string) error {
	log, err := os.ReadFile(p.Log)
	if err != nil {
		log = []byte(err.Error())
	}
	log = log[max(len(log)-maxLogExcerpt, 0):]
	return fmt.Errorf("the broker, process %d, %s (%v); its log is %s:\n%s", p.PID(), text, p.exit(), filepath.Base(p.Log), log)
}

func (p *Process) exit() string {
	select {
	case <-p.done:
		return p.cmd.ProcessState.String()
	default:
		return "still running"
	}
}

// Signal sends the process a signal.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Reload makes the process read its configuration files again (SIGHUP).
func (p *Process) Reload() error { return p.Signal(syscall.SIGHUP) }

// Stall suspends the process for a duration (SIGSTOP, then SIGCONT).
func (p *Process) Stall(duration time.Duration) {
	if p.Signal(syscall.SIGSTOP) != nil {
		return // the process has ended
	}
	select {
	case <-p.done:
	case <-time.After(duration):
		_ = p.Signal(syscall.SIGCONT) // it may have been killed
	}
}

// Drain starts or ends a drain of the process.
func (p *Process) Drain(on bool) error {
	command := "resume"
	if on {
		command = "drain"
	}
	client := http.Client{Timeout: readyTimeout}
	res, err := client.Post("http://"+p.control+"/-/"+command, "", nil)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.done
}

// Stop sends SIGTERM and kills the process if it does not end in time.
func (p *Process) Stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended already
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}
