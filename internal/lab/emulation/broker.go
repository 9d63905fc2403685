package emulation

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"dykering/internal/http1"
	"dykering/internal/lab/netem"
)

// broker implements real.Broker by an http1.Server on the emulated network.
type broker struct {
	name    string
	process *netem.Process
	server  *http1.Server
	signals chan os.Signal
	reloads chan os.Signal
	log     logTail
	// Phases already observed by Options.Observe.
	phases   http1.PhaseCounts
	killOnce sync.Once
	// Closed when the environment is about to kill the process.
	killPending chan struct{}
	allowOnce   sync.Once
	// Closed when the checker knows that the pending requests are lost.
	killAllowed chan struct{}
	// Closed when the server has ended.
	done chan struct{}
	// The error with which the server ended.
	err error
}

func (b *broker) Ready(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); !b.server.CanServe(); {
		select {
		case <-b.done:
			return b.Failure("ended before it could serve")
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(pollInterval):
		}
		if time.Now().After(end) {
			return b.Failure(fmt.Sprintf("could not serve within %v", readyTimeout))
		}
	}
	return nil
}

func (b *broker) Stop() {
	select {
	case b.signals <- syscall.SIGTERM:
	default: // a signal is pending already
	}
	select {
	case <-b.done:
	case <-time.After(stopTimeout):
		b.Kill()
	}
}

func (b *broker) Kill() {
	b.process.Kill()
	b.server.Loop().Close()
	<-b.done
}

// Stall blocks the broker's event loop for a duration. Its other goroutines continue meanwhile.
func (b *broker) Stall(duration time.Duration) {
	end := time.Now().Add(duration) // overlapping stalls end together with the one that ends last
	b.server.Loop().Post(func() { time.Sleep(time.Until(end)) })
}

func (b *broker) Drain(on bool) error {
	if on {
		b.server.Drain()
	} else {
		b.server.Resume()
	}
	return nil
}

func (b *broker) Reload() error {
	select {
	case b.reloads <- syscall.SIGHUP:
	default: // the pending signal will read the current files
	}
	return nil
}

// KillPending returns a channel that is closed when the environment is about to kill the process. The
// environment then waits for AllowKill.
func (b *broker) KillPending() <-chan struct{} { return b.killPending }

// AllowKill lets the environment kill the process.
func (b *broker) AllowKill() { b.allowOnce.Do(func() { close(b.killAllowed) }) }

func (b *broker) Done() <-chan struct{} { return b.done }

func (b *broker) Failure(text string) error {
	return fmt.Errorf("%s %s (%w); its log ends with:\n%s", b.name, text, b.err, b.log.String())
}

// logTail is a writer that keeps the last maxLogExcerpt bytes.
type logTail struct {
	mu   sync.Mutex
	text []byte
}

func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	t.text = t.text[max(len(t.text)-maxLogExcerpt, 0):]
	return len(p), nil
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
