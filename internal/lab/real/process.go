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
	// readyTimeout and stopTimeout limit how long a process may take until it can serve, and until it
	// has stopped.
	readyTimeout = 5 * time.Second
	stopTimeout  = 6 * time.Second
	// maxLogExcerpt is the length of the end of a log that an error quotes, in bytes.
	maxLogExcerpt = 2000
)

// Process is a process of the broker.
type Process struct {
	cmd     *exec.Cmd
	control string
	// The path of its log.
	Log string
	// Closed when it has ended.
	done chan struct{}
	// How it ended.
	err error
}

// Launch describes how a process of the broker is started.
type Launch struct {
	Command []string
	// The platform's configuration file.
	File string
	// The listening socket, held for all processes that share it.
	Socket *os.File
	// The directory that those processes share.
	Dir string
	Log string
	// Additional environment variables.
	Env []string
}

// Start starts a process and does not wait until it can serve.
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
	// The child ends with this process, whatever ends that.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("the broker: %w", err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID is the process id.
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

// Failure returns an error that says what the process did, with the end of its log.
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
		return "it runs"
	}
}

// Signal sends the process a signal.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Reload has the process read its files again (SIGHUP).
func (p *Process) Reload() error { return p.Signal(syscall.SIGHUP) }

// Stall stops the process for a duration (SIGSTOP).
func (p *Process) Stall(duration time.Duration) {
	if p.Signal(syscall.SIGSTOP) != nil {
		return // it has ended
	}
	select {
	case <-p.done:
	case <-time.After(duration):
		_ = p.Signal(syscall.SIGCONT) // it may have been killed
	}
}

// Drain starts or ends a drain of the process.
func (p *Process) Drain(on bool) error {
	what := "resume"
	if on {
		what = "drain"
	}
	client := http.Client{Timeout: readyTimeout}
	res, err := client.Post("http://"+p.control+"/-/"+what, "", nil)
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
