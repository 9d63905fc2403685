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
	// headTimeout bounds the time from the first byte of a head to its end, and the wait for the first
	// byte on a new connection. firstHeadTimeout bounds the sum of both on a new connection. Slower
	// clients would occupy connections that others need.
	headTimeout      = 2500 * time.Millisecond
	firstHeadTimeout = 2900 * time.Millisecond
	// idleTimeout bounds the wait for the next request on a connection.
	idleTimeout = 30 * time.Second
	// writeTimeout bounds each write of a relayed response. A complete answer may take as long as the
	// request's remaining time, but at least minWriteTimeout and at most writeTimeout.
	writeTimeout    = 10 * time.Second
	minWriteTimeout = time.Second
	// maxIDLength bounds a request id, in bytes.
	maxIDLength = 128
	// maxRemaining bounds the remaining time that a client may state.
	maxRemaining = time.Hour
	// quietPeriod is the time without a new connection after which a stopping server that has no
	// clients exits early.
	quietPeriod = 500 * time.Millisecond
	// The platform waits at least for the longest deadline, or for killCap if that is shorter, plus
	// killGrace before it kills a stopping process. All answers are written killMargin before that.
	killCap    = 3 * time.Second
	killGrace  = 700 * time.Millisecond
	killMargin = 200 * time.Millisecond
	// lastAnswerWindow is the time before the end of the process in which each answer closes its
	// connection. If the connection were closed later, while idle, a request could cross the close and
	// would have to be sent again by the client.
	lastAnswerWindow = 100 * time.Millisecond
	// redirectLead is how long before the end of the process a shutdown closes idle connections, so that
	// the clients move to other instances.
	redirectLead = 700 * time.Millisecond
	// shutdownPollInterval is the interval at which a shutdown checks the open connections.
	shutdownPollInterval = 20 * time.Millisecond
	// firstListTimeout bounds the time for which a process that shares its listening socket waits for
	// the first list of endpoints before it accepts.
	firstListTimeout = 2 * time.Second
)

// Server serves downstream connections: it reads requests, submits them to the core loop, which
// decides on their attempts, and writes the answers.
type Server struct {
	loop     *core.Loop
	upstream *upstream
	memory   *core.Memory
	log      *zap.Logger
	config   *config.Config
	// Indices of classes and tenants in the settings, by name.
	classes map[string]int
	tenants map[string]int
	// The longest deadline of all classes.
	longestDeadline time.Duration
	// The fields quietPeriod, redirectLead, drainGrace, handoverGrace and firstListTimeout hold the
	// constants of the same names. Tests set other values.
	quietPeriod time.Duration
	// The time from the signal to stop until all requests are answered.
	shutdownTimeout  time.Duration
	redirectLead     time.Duration
	drainGrace       time.Duration
	handoverGrace    time.Duration
	firstListTimeout time.Duration
	lifecycle        *core.Lifecycle
	network          Network
	// Receives transfers from the predecessor; nil without a handover directory.
	receiver Receiver
	// The process that receives this one's connections when it stops; nil until it is found.
	successor atomic.Pointer[Successor]

	// When the last reload began, in Unix nanoseconds; 0 if there was none.
	lastReload atomic.Int64

	clients connTracker
}

// Loop returns the core loop, for the components that pass the state of other instances to it.
func (s *Server) Loop() *core.Loop { return s.loop }

// New returns a server with its own core loop on the operating system's sockets. It returns an error
// for an invalid configuration.
func New(c *config.Config, log *zap.Logger) (*Server, error) { return NewOn(Kernel{}, c, log) }

// NewOn returns a server with its own core loop on the given network. It returns an error for an
// invalid configuration.
func NewOn(network Network, c *config.Config, log *zap.Logger) (*Server, error) {
	memory := core.NewMemory(c.Plan())
	coreConfig := c.Core()
	coreConfig.Log = log
	up := &upstream{network: network, memory: memory, connectTimeout: c.Settings.ConnectTimeout}
	loop, err := core.New(coreConfig, up,
		func(address string, to core.Sink) core.Discovery {
			return discovery.New(address, to, discovery.Options{
				ConnectTimeout: c.Settings.ConnectTimeout, Dial: network.Dial,
				Pull: c.Settings.PullDiscovery, Log: log,
			})
		})
	if err != nil {
		return nil, err
	}
	s := &Server{
		network:          network,
		loop:             loop,
		lifecycle:        loop.Lifecycle(),
		upstream:         up,
		memory:           memory,
		log:              log,
		config:           c,
		classes:          map[string]int{},
		tenants:          map[string]int{},
		quietPeriod:      quietPeriod,
		redirectLead:     redirectLead,
		drainGrace:       drainGrace,
		handoverGrace:    handoverGrace,
		firstListTimeout: firstListTimeout,
	}
	s.clients.limit = c.Plan().MaxInbound()
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
