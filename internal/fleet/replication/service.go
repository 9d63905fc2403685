package replication

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
	"dykering/internal/fleet/gossip"
	"dykering/internal/fleet/replica"
)

const (
	// eventQueueSize bounds the queue of events for the goroutine that owns the store.
	eventQueueSize = 1024
	// outboxSize bounds the queue of messages to single members.
	outboxSize = 16
	// compareInterval is the interval at which this copy is compared with that of a random member. memberlist's own
	// push-pull would repair lost broadcasts only after 30 s.
	compareInterval = 5 * time.Second
	// evidenceInterval is the interval at which the broker's evidence is recorded and peer ejections are applied.
	evidenceInterval = time.Second
	// brokerTimeout bounds a call to the broker's event loop.
	brokerTimeout = 500 * time.Millisecond
	// monotonicStart is the time of the monotonic clock at the start, so that times before the start are positive.
	monotonicStart = time.Hour
)

// Broker supplies the evidence of its own calls and applies peer ejections.
type Broker interface {
	// Evidence returns the servers that the broker has ejected and those of the named servers that answered it
	// successfully. listed is the number of servers in the broker's list.
	Evidence(ctx context.Context, named []string) (all []core.Evidence, listed int, err error)
	// ApplyPeerEjections applies ejections that other members recommend. applied is the number of servers whose state
	// changed.
	ApplyPeerEjections(ctx context.Context, ejections []core.Evidence) (applied int, err error)
}

// Gossip sends messages to other members; gossip.Channel implements it.
type Gossip interface {
	Attach(replica gossip.Replica)
	Broadcast(name string, message []byte)
	Send(id string, message []byte) error
	RandomPeer() (id string, ok bool)
}

// Counters holds the event counts since the start of the service. The field names are JSON keys of the answer of the
// control address.
type Counters struct {
	Told      atomic.Uint64 // Told counts facts that were broadcast.
	Merged    atomic.Uint64 // Merged counts received facts that changed the store.
	Known     atomic.Uint64 // Known counts received facts that the store already held, or held in a newer version.
	Refused   atomic.Uint64 // Refused counts received facts that were rejected.
	Bad       atomic.Uint64 // Bad counts received messages that could not be decoded.
	Heeded    atomic.Uint64 // Heeded counts servers whose state was changed by a peer ejection.
	CaughtUp  atomic.Uint64 // CaughtUp counts messages sent after a comparison that changed the store.
	Snapshots atomic.Uint64 // Snapshots counts snapshots that were written.
	Lost      atomic.Uint64 // Lost counts events and messages that were dropped because a queue was full.
	Held      atomic.Uint64 // Held counts messages that were not sent because of the rate limit.
	BytesTold atomic.Uint64 // BytesTold counts the bytes of broadcasts.
	BytesSent atomic.Uint64 // BytesSent counts the bytes of messages to single members, including retries.
}

// State is the content of the store after the last event, in the form that the control address serves.
type State struct {
	Digest string         `json:"digest"`
	Facts  []replica.Fact `json:"facts"`
	At     time.Time      `json:"at"`
}

// Service maintains this broker's copy of the facts.
type Service struct {
	section   gossip.Replication
	self      string
	broker    Broker
	gossip    Gossip
	log       *zap.Logger
	events    chan func(*replica.Store)
	outbox    chan outgoingMessage
	summary   atomic.Pointer[[]byte]
	state     atomic.Pointer[State]
	rateLimit tokenBucket
	start     time.Time
	counters  Counters
	done      chan struct{}
	wg        sync.WaitGroup
	closeOnce sync.Once
}

var _ gossip.Replica = (*Service)(nil)

// Start loads the snapshot and starts the exchange of facts. The store holds facts of at most maxOrigins members. The
// service runs two goroutines until Close.
func Start(self string, maxOrigins int, section gossip.Replication, broker Broker, g Gossip, log *zap.Logger) *Service {
	s := &Service{
		section: section, self: self, broker: broker, gossip: g, log: log, start: time.Now(),
		events:    make(chan func(*replica.Store), eventQueueSize),
		outbox:    make(chan outgoingMessage, outboxSize),
		done:      make(chan struct{}),
		rateLimit: newTokenBucket(float64(section.MaxBytesPerSecond)),
	}
	store := replica.New(self, replica.Limits{
		MaxOrigins:     maxOrigins,
		FactsPerOrigin: section.MaxFactsPerOrigin,
		TTL:            time.Duration(section.TTL),
		MaxClockSkew:   time.Duration(section.MaxClockSkew),
	})
	s.restoreSnapshot(store)
	s.publish(store)
	g.Attach(s)
	s.wg.Go(func() { s.run(store) })
	s.wg.Go(s.sendQueued)
	return s
}

// Close ends the goroutines after saving a last snapshot.
func (s *Service) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.wg.Wait()
	})
}

// State returns the content of the store after the last event.
func (s *Service) State() *State { return s.state.Load() }

// Counters returns the live counters.
func (s *Service) Counters() *Counters { return &s.counters }

// now returns the time of an event. Its wall clock includes the offset that the laboratory may configure.
func (s *Service) now() replica.Now {
	now := time.Now()
	return replica.Now{Mono: now.Sub(s.start) + monotonicStart, Wall: now.Add(time.Duration(s.section.ClockOffset))}
}

// run is the goroutine that owns the store.
func (s *Service) run(store *replica.Store) {
	evidence := time.NewTicker(evidenceInterval)
	defer evidence.Stop()
	save := time.NewTicker(time.Duration(s.section.SnapshotInterval))
	defer save.Stop()
	compare := time.NewTicker(compareInterval)
	defer compare.Stop()
	for {
		select {
		case event := <-s.events:
			event(store)
		case <-evidence.C:
			s.exchangeEvidence(store)
		case <-compare.C:
			s.compareWithPeer(store)
			continue
		case <-save.C:
			s.saveSnapshot(store)
			continue
		case <-s.done:
			s.saveSnapshot(store)
			return
		}
		s.publish(store)
	}
}

// enqueueEvent queues an event for the goroutine that owns the store. If the queue is full, it drops and counts the event.
func (s *Service) enqueueEvent(event func(*replica.Store)) {
	select {
	case s.events <- event:
	default:
		s.counters.Lost.Add(1)
	}
}

// publish updates the results of State and Summary.
func (s *Service) publish(store *replica.Store) {
	summary := encode(message{From: s.self, Hashes: store.Summary()})
	s.summary.Store(&summary)
	s.state.Store(&State{Digest: store.Digest(), Facts: store.Facts(s.now()), At: time.Now()})
}
