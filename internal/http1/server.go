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
	// readTimeout is for a head, from its first byte on, and for that to come on a new connection: who takes
	// longer is in the way of others. From the connection on the first head may take firstTimeout.
	readTimeout  = 2500 * time.Millisecond
	firstTimeout = 2900 * time.Millisecond
	idleTimeout  = 30 * time.Second
	writeTimeout = 10 * time.Second // for a piece of an answer to be taken,
	leastWrite   = time.Second      // and for a whole one at the least; else for as long as its request may take
	maxName      = 128              // bytes of an id
	maxRemaining = time.Hour
	// quietAfter is how long no new connection must have come before a sidecar that was told to stop, and that
	// no caller is connected to, ends.
	quietAfter = 500 * time.Millisecond
	// The platform kills a sidecar that was told to stop no sooner than its longest deadline, or killCap if that
	// is shorter, and killGrace later. All answers are out killMargin before that.
	killCap    = 3 * time.Second
	killGrace  = 700 * time.Millisecond
	killMargin = 200 * time.Millisecond
	// lastAnswers is how long before that each answer says that it is the last on its connection: a request
	// that is on its way when an idle one is closed has to be sent again.
	lastAnswers = 100 * time.Millisecond
	// handOver is how long before its end a sidecar that was told to stop sends its callers to the other ones.
	handOver = 700 * time.Millisecond
	stopPoll = 20 * time.Millisecond
	// acceptBy is how long a process that shares its listening socket waits for its first list before it accepts.
	acceptBy = 2 * time.Second
)

// Server takes callers' requests to the loop, and its answers back.
type Server struct {
	loop     *core.Loop
	up       *upstream
	memory   *core.Memory
	log      *zap.Logger
	config   *config.Config
	classes  map[string]int
	tenants  map[string]int
	longest  time.Duration // deadline of a class
	quiet    time.Duration // see quietAfter
	linger   time.Duration // from being told to stop until all is answered
	handOver time.Duration // see handOver
	heardFor time.Duration // see awayAfter
	handsFor time.Duration // see handedOverAfter
	acceptBy time.Duration // see there
	life     *core.Lifecycle
	network  Network
	receiver Receiver             // of the process before; nil where there is no way
	heir     atomic.Pointer[Successor] // to whom connections are passed on; nil for nobody

	reloaded atomic.Int64 // when the last reload began, in Unix nanoseconds; 0 for never

	callers callers
}

// Loop is the core that it serves with, for what tells it of other brokers.
func (s *Server) Loop() *core.Loop { return s.loop }

// New makes a server on the kernel's sockets, and the core that it serves with.
func New(c *config.Config, log *zap.Logger) (*Server, error) { return NewOn(Kernel{}, c, log) }

// NewOn makes a server on a network.
func NewOn(n Network, c *config.Config, log *zap.Logger) (*Server, error) {
	memory := core.NewMemory(c.Plan())
	told := c.Core()
	told.Log = log
	up := &upstream{network: n, memory: memory, connectTimeout: c.Settings.ConnectTimeout}
	loop, err := core.New(told, up,
		func(address string, to core.Sink) core.Discovery {
			return discovery.New(address, to, discovery.Options{ConnectTimeout: c.Settings.ConnectTimeout, Dial: n.Dial,
				MustAsk: c.Settings.PullDiscovery, Log: log})
		})
	if err != nil {
		return nil, err
	}
	s := &Server{network: n, loop: loop, up: up, memory: memory, log: log, config: c, classes: map[string]int{}, tenants: map[string]int{},
		quiet: quietAfter, handOver: handOver, heardFor: awayAfter, handsFor: handedOverAfter, acceptBy: acceptBy, life: loop.Lifecycle()}
	s.callers.most = c.Plan().Inbound()
	for i, class := range c.Settings.Classes {
		s.classes[class.Name] = i
		s.longest = max(s.longest, class.Deadline)
	}
	s.linger = min(s.longest, killCap) + killGrace - killMargin
	for i, tenant := range c.Settings.Tenants {
		s.tenants[tenant.Name] = i
	}
	return s, nil
}
