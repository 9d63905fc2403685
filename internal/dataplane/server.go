// Package dataplane is the process that carries traffic: it follows the control plane's updates, and sends each request
// of a client to an endpoint. The connections to endpoints are those of internal/http1; what is sent where is decided
// by internal/routing.
package dataplane

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/core"
	"dykering/internal/fleetconfig"
	"dykering/internal/nodefile"
	"dykering/internal/routing"
)

const (
	commandQueue  = 4096
	ageEvery      = 500 * time.Millisecond
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	mostHeader    = 64 << 10
	// leastMemoryMB is what is taken for the limit where the settings name less, or none.
	leastMemoryMB = 64
)

// Process is a running sidecar that carries traffic. One goroutine owns its tables.
type Process struct {
	settings nodefile.Settings
	log      *slog.Logger
	origin   time.Time
	ctx      context.Context
	commands chan func()

	// Of the owner.
	pool      *routing.Pool
	budget    *routing.RetryBudget
	demand    *demandTable
	configSeq uint64
	revision  uint64
	changed   chan struct{} // closed when the endpoints change
	endings   map[ending]uint64
	late      explainedLog

	config      atomic.Pointer[activeConfig]
	connections *connections
	memory      *core.Memory
	deadlines   deadlines
	promptSizes promptSizes
	shutdown    atomic.Pointer[shutdown] // nil while no graceful stop is under way
	ending      context.Context          // ends when all that is under way must be answered
	end         context.CancelFunc
	underWay    atomic.Int64 // requests
}

// activeConfig is a configuration that is in force here.
type activeConfig struct {
	parsed *fleetconfig.Parsed
	routes *routing.Routes
}

// Run serves until a signal arrives on stop.
func Run(settings nodefile.Settings, log *slog.Logger, stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newProcess(ctx, settings, log)
	frontend, err := net.Listen("tcp", settings.Listen.Frontend)
	if err != nil {
		return errors.Wrap(err, "frontend address")
	}
	readiness, err := net.Listen("tcp", settings.Listen.Readiness)
	if err != nil {
		return errors.Wrap(err, "readiness address")
	}
	front := &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: mostHeader, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	health := &http.Server{Handler: p.health(), ReadHeaderTimeout: headerTimeout}
	go health.Serve(readiness)
	go front.Serve(frontend)
	go p.follow()
	go p.reportDemand()
	log.Info("process.serving", "role", settings.Role, "name", settings.NodeName)
	sig := <-stop
	log.Info("process.stopping", "signal", sig.String())
	p.stop(front, health)
	return nil
}

// newProcess makes a process whose tables have their owner, and that follows nobody yet.
func newProcess(ctx context.Context, settings nodefile.Settings, log *slog.Logger) *Process {
	bounds := settings.Bounds
	p := &Process{
		settings: settings, log: log, origin: time.Now(), ctx: ctx, commands: make(chan func(), commandQueue),
		pool:   routing.NewPool(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		budget: routing.NewRetryBudget(nodefile.Seconds(bounds.BudgetWindowS), bounds.RetryBudgetRatio, bounds.RetryBudgetSlack),
		demand: newDemandTable(), changed: make(chan struct{}), endings: map[ending]uint64{},
		connections: newConnections(settings.Limits.FileDescriptors),
		memory:      core.NewMemory(core.Limits{MemoryMB: int64(max(settings.Limits.MemoryMB, leastMemoryMB)), Sockets: max(settings.Limits.FileDescriptors, 1)}),
	}
	p.pool.HasIdleConnection = p.connections.has
	p.ending, p.end = context.WithCancel(ctx)
	go p.own()
	return p
}

func (p *Process) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if p.stopping() || p.config.Load() == nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func (p *Process) now() time.Duration { return time.Since(p.origin) }

// own works through the commands to the owner of the tables.
func (p *Process) own() {
	ticker := time.NewTicker(ageEvery)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case command := <-p.commands:
			command()
		case <-ticker.C:
			p.pool.Expire(p.now())
			p.connections.sweep()
		}
	}
}

// post hands a command to the owner. It blocks while the queue is full.
func (p *Process) post(command func()) {
	select {
	case p.commands <- command:
	case <-p.ctx.Done():
	}
}

// ask has the owner tell something.
func ask[T any](p *Process, tell func() T) (told T) {
	answer := make(chan T, 1)
	p.post(func() { answer <- tell() })
	select {
	case told = <-answer:
	case <-p.ctx.Done():
	}
	return told
}
