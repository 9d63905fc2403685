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
	// eventQueueSize bounds the events that wait for the owner of the store.
	eventQueueSize = 1024
	// outboxSize bounds the messages that wait to be sent to single members.
	outboxSize = 16
	// compareInterval is how often this copy is compared with a random member's. memberlist's own push-pull would find
	// what the gossip lost only after 30 s.
	compareInterval = 5 * time.Second
	// evidenceInterval is how often the broker's own evidence is recorded and other members' facts are applied.
	evidenceInterval = time.Second
	// brokerTimeout bounds the wait for the broker's event loop.
	brokerTimeout = 500 * time.Millisecond
	// monotonicStart is where the monotonic clock begins, so that ages before the start are positive.
	monotonicStart = time.Hour
)

// Broker is the source of the evidence and applies the advice.
type Broker interface {
	// Evidence returns the servers that the broker has ejected, those of the named that answered it well, and how many
	// servers are in its list.
	Evidence(ctx context.Context, named []string) (all []core.Evidence, listed int, err error)
	// ApplyPeerEjections applies what other members found, and returns how many servers that changed.
	ApplyPeerEjections(ctx context.Context, advice []core.Evidence) (applied int, err error)
}

// Gossip reaches the other members; see gossip.Channel.
type Gossip interface {
	Attach(replica gossip.Replica)
	Broadcast(name string, message []byte)
	Send(id string, message []byte) error
	RandomPeer() (id string, ok bool)
}

// Counters count what was done since the start. Their names are JSON keys of the answer of the control address.
type Counters struct {
	Told      atomic.Uint64 // Told are facts that were broadcast.
	Merged    atomic.Uint64 // Merged are received facts that were news.
	Known     atomic.Uint64 // Known are received facts that were not.
	Refused   atomic.Uint64 // Refused are received facts that were rejected.
	Bad       atomic.Uint64 // Bad are received messages that could not be read.
	Heeded    atomic.Uint64 // Heeded are servers whose treatment the advice changed.
	CaughtUp  atomic.Uint64 // CaughtUp are messages of another copy with news.
	Snapshots atomic.Uint64 // Snapshots are those that were written.
	Lost      atomic.Uint64 // Lost are events and messages that did not fit into a queue.
	Held      atomic.Uint64 // Held are messages that the rate did not allow.
	BytesTold atomic.Uint64 // BytesTold are those of broadcasts.
	BytesSent atomic.Uint64 // BytesSent are those of messages to single members.
}

// State is the copy after the last event, as the control address serves it.
type State struct {
	Digest string         `json:"digest"`
	Facts  []replica.Fact `json:"facts"`
	At     time.Time      `json:"at"`
}

// Service is a running copy.
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

// Start loads the snapshot and begins to take part, with at most maxOrigins members whose facts are held. It owns two
// goroutines until Close.
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

// Close ends the goroutines, and writes the snapshot a last time.
func (s *Service) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.wg.Wait()
	})
}

// State returns the copy after the last event.
func (s *Service) State() *State { return s.state.Load() }

// Counters returns the counters, which go on counting.
func (s *Service) Counters() *Counters { return &s.counters }

// now is the time of an event. The laboratory may set the wall clock off.
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

// enqueueEvent queues an event for the owner of the store, or counts it as lost.
func (s *Service) enqueueEvent(event func(*replica.Store)) {
	select {
	case s.events <- event:
	default:
		s.counters.Lost.Add(1)
	}
}

// publish stores what State and Summary return.
func (s *Service) publish(store *replica.Store) {
	summary := encode(message{From: s.self, Hashes: store.Summary()})
	s.summary.Store(&summary)
	s.state.Store(&State{Digest: store.Digest(), Facts: store.Facts(s.now()), At: time.Now()})
}
