package dataplane

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/connlimit"
	"dykering/internal/core"
	"dykering/internal/fleetconfig"
	"dykering/internal/nodefile"
	"dykering/internal/routing"
)

// Limits of the HTTP servers and the process.
const (
	readHeaderTimeout = 10 * time.Second
	// clientIdleTimeout is how long an idle connection of a client is kept.
	clientIdleTimeout = 75 * time.Second
	maxHeaderBytes    = 64 << 10
	// maxCheckHeaderBytes bounds the head of a readiness check.
	maxCheckHeaderBytes = 4 << 10
	// minMemoryMB is the memory limit, in MB, if the settings have a lower limit or none.
	minMemoryMB = 64
)

// Server is the HTTP handler and the state of a running proxy.
type Server struct {
	settings  nodefile.Settings
	log       *slog.Logger
	startedAt time.Time
	ctx       context.Context // done when the process ends
	commands  chan func()     // commands for the table loop

	// The tables. Only the table loop (runTableLoop) uses them.
	pool              *routing.Pool
	retryBudget       *routing.RetryBudget
	demand            *demandCounters
	configSeq         uint64        // sequence number of the last applied configuration
	endpointsRevision uint64        // revision of the last applied update of endpoints
	endpointsChanged  chan struct{} // closed and replaced when the endpoints change
	outcomes          map[requestOutcome]uint64
	attempts          attemptCounters
	explanations      explanationLog

	// State that the goroutines of requests share.
	config           atomic.Pointer[activeConfig] // nil until the first configuration arrives
	currentAt        atomic.Int64                 // when the applied updates were certainly the newest state, as of now()
	connections      *connectionPool
	memory           *core.Memory
	deadlines        clientDeadlines
	promptSizes      promptSizes
	requestsInFlight atomic.Int64

	shutdown         atomic.Pointer[shutdown] // nil unless the process is stopping
	responsesAborted context.Context          // done when a stopping process aborts the responses in flight
	abortResponses   context.CancelFunc
}

// activeConfig is the configuration that the proxy uses, with its routing table. It is immutable.
type activeConfig struct {
	parsed *fleetconfig.Config
	routes *routing.Routes
}

// Run serves requests until a signal arrives on stop, and then shuts down gracefully. It returns an error if it cannot listen
// on an address.
func Run(settings nodefile.Settings, log *slog.Logger, stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newServer(ctx, settings, log)
	frontendListener, err := connlimit.Listen(ctx, settings.Listen.Frontend, frontendLimits(settings.Limits))
	if err != nil {
		return errors.Wrap(err, "listen on the frontend address")
	}
	readinessListener, err := connlimit.Listen(ctx, settings.Listen.Readiness, readinessLimits())
	if err != nil {
		return errors.Wrap(err, "listen on the readiness address")
	}
	frontend := &http.Server{
		Handler: s, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	admin := &http.Server{
		Handler: s.adminHandler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: clientIdleTimeout,
		MaxHeaderBytes: maxCheckHeaderBytes, ErrorLog: frontend.ErrorLog,
	}
	serve(readinessListener, admin)
	serve(frontendListener, frontend)
	go s.followUpdates()
	go s.reportDemand()
	log.Info("process.serving", "role", settings.Role, "name", settings.NodeName)
	received := <-stop
	log.Info("process.stopping", "signal", received.String())
	s.shutDownGracefully(frontend, admin)
	return nil
}

// serve serves a listener until the server is closed.
func serve(listener *connlimit.Listener, server *http.Server) {
	go func() { _ = listener.Serve(server) }() // it returns once the server is closed
}

// newServer creates a server and starts its table loop. The server does not subscribe to a control process yet.
func newServer(ctx context.Context, settings nodefile.Settings, log *slog.Logger) *Server {
	bounds, limits := settings.Bounds, settings.Limits
	s := &Server{
		settings: settings, log: log, startedAt: time.Now(), ctx: ctx, commands: make(chan func(), commandQueueSize),
		pool:        routing.NewPool(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		retryBudget: routing.NewRetryBudget(nodefile.Seconds(bounds.BudgetWindowS), bounds.RetryBudgetRatio, bounds.RetryBudgetSlack),
		demand:      newDemandCounters(), endpointsChanged: make(chan struct{}), outcomes: map[requestOutcome]uint64{},
		attempts:    newAttemptCounters(),
		connections: newConnectionPool(connlimit.SocketDescriptors(limits.FileDescriptors)),
		memory:      core.NewMemory(core.Limits{MemoryMB: int64(max(limits.MemoryMB, minMemoryMB)), Sockets: max(limits.FileDescriptors, 1)}),
	}
	s.pool.HasIdleConnection = s.connections.hasIdle
	s.responsesAborted, s.abortResponses = context.WithCancel(ctx)
	go s.runTableLoop()
	return s
}
