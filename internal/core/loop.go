package core

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

const (
	// clockStart is the time of the event clock at the start of the process. It is well above 0, so that an endpoint
	// that started shortly before this sidecar has a positive start time. A start time of 0 means long ago.
	clockStart = 24 * time.Hour
	// eventQueueSize is the number of events that may be queued for the loop. Post blocks while the queue is full.
	eventQueueSize = 1024
	// sweepInterval is the interval at which the pool closes expired and dead idle connections.
	sweepInterval = time.Second
)

// Loop is the event loop. One goroutine, in Run, calls the functions in events. Only that goroutine uses the fields from
// closed on. Loop is the decision.Host of the Balancer (host.go).
type Loop struct {
	events       chan func()
	done         chan struct{} // closed when the loop is closed
	closing      sync.Once
	origin       time.Time // zero time of the event clock
	config       Config
	log          *zap.Logger
	upstream     Upstream
	newDiscovery NewDiscovery
	lifecycle    *Lifecycle

	closed        bool          // close has run, so no further events are handled
	eventTime     time.Duration // the last time that now returned: that of the event which the Balancer handles
	drainDeadline time.Time     // by when all calls must be answered; zero unless Drain was called
	balancer      *decision.Balancer
	calls         map[decision.RequestID]*Call // not yet answered, or with an attempt in flight
	recent        recentIDs
	endpoints     *endpointTable
	pool          pool
	adopted       map[*Attempt]bool // attempts in flight that the predecessor of this process started

	// The endpoint list (discovery.go).
	discovery        Discovery
	discoveryAddress string
	revision         uint64        // version of the Balancer's current list
	awaitingFullList bool          // no full list has been received from the current discovery client
	resyncAt         time.Time     // time of the last resync
	resyncBackoff    time.Duration // minimum time between resyncAt and the next resync
	resyncPending    bool          // a resync is scheduled for the end of the backoff
}

var (
	_ decision.Host   = (*Loop)(nil)
	_ AttemptObserver = (*Loop)(nil)
	_ Sink            = (*Loop)(nil)
)

// New creates a loop. Run starts it. The error describes the first setting that the Balancer rejects.
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

// clock returns the current time of the event clock.
func (l *Loop) clock() time.Duration { return time.Since(l.origin) }

// now returns the current time of the event clock as the time of an event that the Balancer is about to handle.
func (l *Loop) now() time.Duration {
	l.eventTime = l.clock()
	return l.eventTime
}

// Post queues an event for the loop. The loop's own goroutine must not call it, because it blocks while the queue is full.
// It has no effect once the loop is closed.
func (l *Loop) Post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Run handles events until Close is called.
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

// Close stops discovery, cancels the attempts in flight, closes the idle connections, and then ends the loop. Events that
// are posted later are not handled, so the caller must not need any further answers.
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
