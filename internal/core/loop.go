package core

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

const (
	// clockStart is the event clock at the start of the process. It is well above 0, so that an endpoint that
	// started shortly before this sidecar has a start above 0 too: 0 stands for long past.
	clockStart = 24 * time.Hour
	// eventQueueSize is the number of events that may wait for the loop; Post blocks beyond it.
	eventQueueSize = 1024
	// sweepInterval is the interval at which idle connections are checked.
	sweepInterval = time.Second
)

// Loop is the event loop. One goroutine, Run, calls the functions in events, and only it touches the fields from closed
// on. Loop is the Balancer's Host (host.go).
type Loop struct {
	events       chan func()
	done         chan struct{} // closed when the loop has ended
	closing      sync.Once
	origin       time.Time // zero of the event clock
	config       Config
	log          *zap.Logger
	upstream     Upstream
	newDiscovery NewDiscovery
	lifecycle    *Lifecycle

	closed        bool      // Close was carried out: no further event is
	drainDeadline time.Time // when all must be answered; zero unless this process drains
	balancer      *decision.Balancer
	calls         map[decision.RequestID]*Call // not yet answered, or with an attempt in flight
	recent        recentIDs
	endpoints     *endpointTable
	pool          pool
	adopted       map[*Attempt]bool // attempts that the preceding process began, and that are not yet over

	// The endpoint list (discovery.go).
	discovery        Discovery
	discoveryAddress string
	revision         uint64 // of the list that the Balancer has
	awaitingFullList bool   // the followed discovery has not yet sent its full list
	resyncAt         time.Time
	resyncBackoff    time.Duration // no resync for so long after resyncAt,
	resyncPending    bool          // and one is due then
}

var (
	_ decision.Host   = (*Loop)(nil)
	_ AttemptObserver = (*Loop)(nil)
	_ Sink            = (*Loop)(nil)
)

// New makes a loop that Run starts. The error names the first setting that cannot be acted on.
func New(c Config, upstream Upstream, newDiscovery NewDiscovery) (*Loop, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	l := &Loop{
		events:           make(chan func(), eventQueueSize),
		done:             make(chan struct{}),
		origin:           time.Now().Add(-clockStart),
		config:           c,
		log:              c.Log,
		upstream:         upstream,
		newDiscovery:     newDiscovery,
		lifecycle:        newLifecycle(c.Log),
		calls:            map[decision.RequestID]*Call{},
		adopted:          map[*Attempt]bool{},
		discoveryAddress: c.DiscoveryAddress,
		resyncBackoff:    minResyncBackoff,
	}
	l.endpoints = newEndpointTable(c.Settings.Zones, c.Settings.Models, l.origin, c.Log)
	l.pool = newPool(&c.Settings, c.Limits.MaxOutbound())
	l.discovery = newDiscovery(c.DiscoveryAddress, l)
	var err error
	l.balancer, err = decision.New(c.Settings.Settings, c.Seed, l)
	return l, err
}

// Lifecycle returns the lifecycle of the process.
func (l *Loop) Lifecycle() *Lifecycle { return l.lifecycle }

// now is the time on the event clock.
func (l *Loop) now() time.Duration { return time.Since(l.origin) }

// Post hands an event to the loop. Only other goroutines may call it: it blocks while the queue is full. It does
// nothing once the loop has ended.
func (l *Loop) Post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Run handles events until Close.
func (l *Loop) Run() {
	l.applyList(l.config.CachedList, FromCache)
	if !l.config.Settings.PullDiscovery {
		l.discovery.Watch(l.watchFrom())
	}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case event := <-l.events:
			event()
			if l.closed {
				return
			}
		case <-sweep.C:
			l.pool.sweep(time.Now())
		}
	}
}

// Close ends the loop after it has stopped discovery, cancelled the attempts in flight and closed the idle connections.
// Events that are posted later are not carried out: no answer is due by then.
func (l *Loop) Close() {
	l.closing.Do(func() { l.Post(l.close) })
}

func (l *Loop) close() {
	l.discovery.Stop()
	for _, c := range l.calls {
		if c.attempt != nil {
			c.attempt.Cancel()
		}
	}
	for e := range l.pool.idle {
		l.pool.closeIdle(e)
	}
	l.closed = true
	close(l.done)
}
