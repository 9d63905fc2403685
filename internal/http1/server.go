package http1

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dykering/internal/config"
	"dykering/internal/core"
	"dykering/internal/discovery"
)

const (
	// headTimeout is for a head, from its first byte on, and for that to come on a new connection: who takes
	// longer is in the way of others. From the connection on the first head may take firstTimeout.
	headTimeout      = 2500 * time.Millisecond
	firstHeadTimeout = 2900 * time.Millisecond
	idleTimeout      = 30 * time.Second
	writeTimeout     = 10 * time.Second // for a piece of an answer to be taken,
	minWriteTimeout  = time.Second      // and for a whole one at the least; else for as long as its request may take
	maxIDLength      = 128              // bytes of an id
	maxRemaining     = time.Hour
	// quietPeriod is how long no new connection must have come before a sidecar that was told to stop, and that
	// no caller is connected to, ends.
	quietPeriod = 500 * time.Millisecond
	// The platform kills a sidecar that was told to stop no sooner than its longest deadline, or killCap if that
	// is shorter, and killGrace later. All answers are out killMargin before that.
	killCap    = 3 * time.Second
	killGrace  = 700 * time.Millisecond
	killMargin = 200 * time.Millisecond
	// lastAnswerWindow is how long before that each answer says that it is the last on its connection: a request
	// that is on its way when an idle one is closed has to be sent again.
	lastAnswerWindow = 100 * time.Millisecond
	// redirectLead is how long before its end a sidecar that was told to stop sends its callers to the other ones.
	redirectLead         = 700 * time.Millisecond
	shutdownPollInterval = 20 * time.Millisecond
	// firstListTimeout is how long a process that shares its listening socket waits for its first list before it accepts.
	firstListTimeout = 2 * time.Second
)

// Server takes callers' requests to the loop, and its answers back.
type Server struct {
	loop             *core.Loop
	upstream         *upstream
	memory           *core.Memory
	log              *zap.Logger
	config           *config.Config
	classes          map[string]int
	tenants          map[string]int
	longestDeadline  time.Duration // deadline of a class
	quietPeriod      time.Duration // see quietAfter
	shutdownTimeout  time.Duration // from being told to stop until all is answered
	redirectLead     time.Duration // see handOver
	drainGrace       time.Duration // see awayAfter
	handoverGrace    time.Duration // see handedOverAfter
	firstListTimeout time.Duration // see there
	lifecycle        *core.Lifecycle
	network          Network
	receiver         Receiver                  // of the process before; nil where there is no way
	successor        atomic.Pointer[Successor] // to whom connections are passed on; nil for nobody

	lastReload atomic.Int64 // when the last reload began, in Unix nanoseconds; 0 for never

	clients connTracker
}

// Loop is the core that it serves with, for what tells it of other brokers.
func (s *Server) Loop() *core.Loop { return s.loop }

// New makes a server on the kernel's sockets, and the core that it serves with.
func New(c *config.Config, log *zap.Logger) (*Server, error) { return NewOn(Kernel{}, c, log) }

// NewOn makes a server on a network.
func NewOn(network Network, c *config.Config, log *zap.Logger) (*Server, error) {
	memory := core.NewMemory(c.Plan())
	coreConfig := c.Core()
	coreConfig.Log = log
	up := &upstream{network: network, memory: memory, connectTimeout: c.Settings.ConnectTimeout}
	loop, err := core.New(coreConfig, up,
		func(address string, to core.Sink) core.Discovery {
			return discovery.New(address, to, discovery.Options{ConnectTimeout: c.Settings.ConnectTimeout, Dial: network.Dial,
				MustAsk: c.Settings.PullDiscovery, Log: log})
		})
	if err != nil {
		return nil, err
	}
	s := &Server{network: network, loop: loop, upstream: up, memory: memory, log: log, config: c, classes: map[string]int{}, tenants: map[string]int{},
		quietPeriod: quietPeriod, redirectLead: redirectLead, drainGrace: drainGrace, handoverGrace: handoverGrace, firstListTimeout: firstListTimeout, lifecycle: loop.Lifecycle()}
	s.clients.limit = c.Plan().Inbound()
	for i, class := range c.Settings.Classes {
		s.classes[class.Name] = i
		s.longestDeadline = max(s.longestDeadline, class.Deadline)
	}
	s.shutdownTimeout = min(s.longestDeadline, killCap) + killGrace - killMargin
	for i, tenant := range c.Settings.Tenants {
		s.tenants[tenant.Name] = i
	}
	return s, nil
}
