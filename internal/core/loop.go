package core

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

const (
	// clockStart is the event clock at the start of the process. It is well above 0, so that an endpoint
	// that started shortly before this sidecar did has a start above 0 too: 0 stands for long past.
	clockStart     = 24 * time.Hour
	eventQueueSize = 1024
	sweepInterval  = time.Second
	// anewEvery is how long discovery is not asked anew once it was, as a watch has brought an older whole list; twice as
	// long each time that this goes on, up to anewMost.
	resyncBackoffMin = 3 * time.Second
	resyncBackoffMax = 30 * time.Second
)

// Loop owns the Balancer and all state that goes with it: one goroutine runs the functions in events, and
// only it touches the fields from ended on. It is the Balancer's Host.
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

	closed           bool          // Close has been done: nothing more is
	drainDeadline    time.Time     // when all must be answered; zero unless this process was told to stop
	revision         uint64        // version of the list that the Balancer has
	resyncAt         time.Time     // when discovery was last asked anew, as a watch brought an older whole list,
	resyncBackoff    time.Duration // not again for so long after it,
	resyncPending    bool          // and then once more
	awaitingFullList bool          // that list is another discovery's than the one that is followed now
	balancer         *decision.Balancer
	calls            map[decision.RequestID]*Call
	recent           recentIDs
	endpoints        *endpointTable
	pool             pool
	adopted          map[*Attempt]bool // that the process before has begun
	discovery        Discovery
	discoveryAddress string // of discovery
}

// New makes a loop, or names the setting that cannot be acted on.
func New(c Config, up Upstream, discover NewDiscovery) (*Loop, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	l := &Loop{
		events: make(chan func(), eventQueueSize), done: make(chan struct{}), origin: time.Now().Add(-clockStart), config: c, log: c.Log, upstream: up,
		newDiscovery: discover, lifecycle: newLifecycle(c.Log), calls: map[decision.RequestID]*Call{},
		adopted: map[*Attempt]bool{}, discoveryAddress: c.DiscoveryAddress, resyncBackoff: resyncBackoffMin,
	}
	l.endpoints = newEndpointTable(c.Settings.Zones, c.Settings.Models, l.origin, c.Log)
	l.pool = newPool(&c.Settings, c.Limits.MaxOutbound())
	l.discovery = discover(c.DiscoveryAddress, l)
	var err error
	l.balancer, err = decision.New(c.Settings.Settings, c.Seed, l)
	return l, err
}

// Lifecycle is that of the process.
func (l *Loop) Lifecycle() *Lifecycle { return l.lifecycle }

func (l *Loop) now() time.Duration { return time.Since(l.origin) }

// Post hands an event to the loop. Only other goroutines may call it; it blocks while the queue is full, and does
// nothing once the loop has ended.
func (l *Loop) Post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// look has the loop tell something; the zero value once it has ended.
func look[T any](l *Loop, tell func() T) (told T) {
	got := make(chan T, 1)
	l.Post(func() { got <- tell() })
	select {
	case told = <-got:
	case <-l.done:
	}
	return told
}

// Close ends the loop, once it has let go of discovery, of what is out and of its idle connections. What is posted
// later is not done: nobody is owed anything by then.
func (l *Loop) Close() {
	l.closing.Do(func() {
		l.Post(func() {
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
		})
	})
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
