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

// broker is a process of the broker.
type broker struct {
	name    string
	process *netem.Process
	server  *http1.Server
	signals chan os.Signal
	reloads chan os.Signal
	log     tail
	visited http1.PhaseCounts // by look
	dying   sync.Once
	dies    chan struct{} // closed when other than the stage is about to kill it
	pardon  sync.Once
	excused chan struct{} // closed once the stage knows
	ended   chan struct{}
	err     error // with which it ended
}

func (b *broker) Ready(ctx context.Context) error {
	for end := time.Now().Add(readyFor); !b.server.CanServe(); {
		select {
		case <-b.ended:
			return b.Fault("ended before it could serve")
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(poll):
		}
		if time.Now().After(end) {
			return b.Fault(fmt.Sprintf("could not serve within %v", readyFor))
		}
	}
	return nil
}

func (b *broker) End() {
	select {
	case b.signals <- syscall.SIGTERM:
	default: // it has one
	}
	select {
	case <-b.ended:
	case <-time.After(endFor):
		b.Kill()
	}
}

func (b *broker) Kill() {
	b.process.Kill()
	b.server.Loop().Close()
	<-b.ended
}

// Stall has the broker's loop stand still for a while. What its other goroutines do goes on meanwhile, and crosses it.
func (b *broker) Stall(lasts time.Duration) {
	end := time.Now().Add(lasts) // two at a time are no longer than the one that ends last
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
	default: // one is to come that reads what is there now
	}
	return nil
}

// Dies is closed when other than the stage is about to kill it, which waits for Excused.
func (b *broker) Dies() <-chan struct{} { return b.dies }

func (b *broker) Excused() { b.pardon.Do(func() { close(b.excused) }) }

func (b *broker) Ended() <-chan struct{} { return b.ended }

func (b *broker) Fault(text string) error {
	return fmt.Errorf("%s %s (%w); its log ends with:\n%s", b.name, text, b.err, b.log.String())
}

// tail keeps the end of a log.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	t.text = t.text[max(len(t.text)-mostLog, 0):]
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
