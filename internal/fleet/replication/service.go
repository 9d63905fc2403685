// Package replication keeps a broker's copy of the replicated state (package replica) with the others': it tells what
// its own calls have shown, takes what others tell, catches up by digests with each push-pull of the gossip, and keeps
// a snapshot on disk. One goroutine owns the store; the gossip's goroutines reach it through a bounded queue.
package replication

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"go.uber.org/zap"

	"dykering/internal/core"
	"dykering/internal/fleet/gossip"
	"dykering/internal/fleet/replica"
)

const (
	// queued bounds what waits for the owner; what does not fit is lost, and the next push-pull brings it.
	queued = 1024
	// sends bounds the catch-ups that wait to be sent.
	sends = 16
	// sendTries and sendPause are for one message of a catch-up, as a link that loses packets breaks streams too.
	sendTries = 3
	sendPause = 300 * time.Millisecond
	// compareEvery is how often a copy is compared with another member's.
	compareEvery = 5 * time.Second
	// each is how often own evidence is looked at, and the word of others.
	each = time.Second
	// askTimeout bounds the wait for the core's loop.
	askTimeout = 500 * time.Millisecond
	// chunk is how many facts one message of a catch-up holds.
	chunk = 256
	// mostBytes bounds a message that is taken: a summary of some thousand origins, or a chunk of facts.
	mostBytes = 1 << 20
	// burst is for how many seconds the rate of what is sent may be saved up.
	burst = 2
)

// Broker is whose calls the evidence is of, and who takes advice.
type Broker interface {
	Evidence(ctx context.Context, named []string) (all []core.Evidence, listed int, err error)
	ApplyPeerEjections(ctx context.Context, advice []core.Evidence) (heeded int, err error)
}

// Gossip is how members are reached.
type Gossip interface {
	Attach(gossip.Replica)
	Broadcast(name string, msg []byte)
	Send(id string, msg []byte) error
	RandomPeer() (id string, ok bool)
}

// Counters are what was done since the start.
type Counters struct {
	Told, Merged, Known, Refused, Bad, Heeded, CaughtUp, Snapshots, Lost, Held, BytesTold, BytesSent atomic.Uint64
}

// State is the copy as it was at the last look.
type State struct {
	Digest string         `json:"digest"`
	Facts  []replica.Fact `json:"facts"`
	At     time.Time      `json:"at"`
}

// Service is a running copy.
type Service struct {
	section gossip.Replication
	self    string
	broker  Broker
	gossip  Gossip
	log     *zap.Logger
	events  chan func(*replica.Store)
	outbox  chan outgoing
	summary atomic.Pointer[[]byte]
	state   atomic.Pointer[State]
	budget  budget
	began   time.Time
	count   Counters
	done    chan struct{}
	wg      sync.WaitGroup
	once    sync.Once
}

type outgoing struct {
	to  string
	msg []byte
}

// message is what members send each other: facts, or a summary of those they hold.
type message struct {
	From  string            `codec:"i,omitempty"`
	Facts []replica.Fact    `codec:"f,omitempty"`
	Sums  map[string]uint64 `codec:"s,omitempty"`
	Ask   bool              `codec:"a,omitempty"` // the other side's summary is to come back, where it lacks something
}

func encode(m message) []byte {
	var b []byte
	codec.NewEncoderBytes(&b, &codec.MsgpackHandle{}).MustEncode(m) // of types that it knows
	return b
}

func decode(b []byte) (m message, err error) {
	if len(b) > mostBytes {
		return m, fmt.Errorf("%d bytes are more than %d", len(b), mostBytes)
	}
	return m, codec.NewDecoderBytes(b, &codec.MsgpackHandle{}).Decode(&m)
}

// Start begins to take part. It owns two goroutines, and one for the snapshot, until Close.
func Start(self string, most int, section gossip.Replication, broker Broker, g Gossip, log *zap.Logger) *Service {
	s := &Service{section: section, self: self, broker: broker, gossip: g, log: log, began: time.Now(),
		events: make(chan func(*replica.Store), queued), outbox: make(chan outgoing, sends), done: make(chan struct{}),
		budget: budget{rate: float64(section.Rate), left: burst * float64(section.Rate)}}
	store := replica.New(self, replica.Limits{MaxOrigins: most, FactsPerOrigin: section.Facts, TTL: time.Duration(section.TTL),
		MaxClockSkew: time.Duration(section.Ahead)})
	s.warm(store)
	s.publish(store)
	g.Attach(s)
	s.wg.Go(func() { s.own(store) })
	s.wg.Go(s.send)
	return s
}

// Close ends its goroutines, and writes the snapshot a last time.
func (s *Service) Close() {
	s.once.Do(func() {
		close(s.done)
		s.wg.Wait()
	})
}

// State is the copy after the last look, Counters what was done.
func (s *Service) State() *State       { return s.state.Load() }
func (s *Service) Counters() *Counters { return &s.count }

// now is the time of an event: the wall's may be set off by the laboratory.
func (s *Service) now() replica.Now {
	now := time.Now()
	return replica.Now{Mono: now.Sub(s.began) + time.Hour, Wall: now.Add(time.Duration(s.section.Offset))}
}

// own is the one goroutine that changes the store.
func (s *Service) own(store *replica.Store) {
	look, save, compare := time.NewTicker(each), time.NewTicker(time.Duration(s.section.Every)), time.NewTicker(compareEvery)
	defer look.Stop()
	defer save.Stop()
	defer compare.Stop()
	for {
		select {
		case event := <-s.events:
			event(store)
		case <-look.C:
			s.look(store)
		case <-compare.C:
			s.compare(store)
			continue
		case <-save.C:
			s.save(store)
			continue
		case <-s.done:
			s.save(store)
			return
		}
		s.publish(store)
	}
}

// compare tells one other member what this copy holds, so that it sends what this one lacks: what the gossip lost is
// found within a few seconds, not by memberlist's push-pull each 30 s alone.
func (s *Service) compare(store *replica.Store) {
	if to, ok := s.gossip.RandomPeer(); ok {
		s.queue(to, encode(message{From: s.self, Sums: store.Summary(), Ask: true}))
	}
}

// queue has a message sent, if the rate and the queue allow it.
func (s *Service) queue(to string, msg []byte) bool {
	if !s.budget.take(time.Now(), float64(len(msg))) {
		s.count.Held.Add(1)
		return false
	}
	select {
	case s.outbox <- outgoing{to, msg}:
		return true
	default:
		s.count.Lost.Add(1)
		return false
	}
}

// post hands the owner an event, or counts it as lost.
func (s *Service) post(event func(*replica.Store)) {
	select {
	case s.events <- event:
	default:
		s.count.Lost.Add(1)
	}
}

// look tells what own calls have shown since, and hands on what the word of others comes to.
func (s *Service) look(store *replica.Store) {
	now := s.now()
	store.Expire(now)
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	evidence, listed, err := s.broker.Evidence(ctx, store.Disputed(now))
	if err != nil {
		s.log.Warn("fleet.replica.busy", zap.Error(err))
		return
	}
	for _, e := range evidence {
		word := replica.Good
		if e.Ejected {
			word = replica.Bad
		}
		if f, news := store.Record(now, e.Server, word, time.Duration(s.section.TTL)); news {
			s.tell(f)
		}
	}
	rules := replica.Rules{MinWitnesses: s.section.Witnesses, MaxShareOfOrigin: float64(s.section.PerOrigin) / 100,
		MaxShare: float64(s.section.MostBad) / 100}
	var advice []core.Evidence
	for _, a := range store.Advise(now, listed, rules) {
		advice = append(advice, core.Evidence{Server: a.Subject, Ejected: true, Age: a.Age})
	}
	if len(advice) == 0 {
		return
	}
	heeded, err := s.broker.ApplyPeerEjections(ctx, advice)
	if err != nil {
		s.log.Warn("fleet.replica.busy", zap.Error(err))
	}
	if heeded > 0 {
		s.count.Heeded.Add(uint64(heeded))
		s.log.Info("fleet.replica.heeded", zap.Int("servers", heeded), zap.Int("advice", len(advice)),
			zap.String("digest", store.Digest()))
	}
}

// tell gossips a fact, while the rate allows it: what is held back the next push-pull brings.
func (s *Service) tell(f replica.Fact) {
	b := encode(message{Facts: []replica.Fact{f}})
	if !s.budget.take(time.Now(), float64(len(b))) {
		s.count.Held.Add(1)
		return
	}
	s.count.Told.Add(1)
	s.count.BytesTold.Add(uint64(len(b)))
	s.gossip.Broadcast(f.Origin+"/"+f.Subject, b)
}

// Receive takes what a member told. What is news goes on, so that it spreads as the gossip does.
func (s *Service) Receive(b []byte) {
	m, err := decode(b)
	if err != nil {
		s.garbage(err)
		return
	}
	if m.From != "" && len(m.Facts) == 0 { // a summary, perhaps of nothing
		s.differ(m)
		return
	}
	s.post(func(store *replica.Store) { s.merge(store, m) })
}

func (s *Service) garbage(err error) {
	s.count.Bad.Add(1)
	s.log.Warn("fleet.replica.refused", zap.String("why", "no message of ours"), zap.Error(err))
}

// merge joins facts into the store.
func (s *Service) merge(store *replica.Store, m message) {
	now, news, refused := s.now(), 0, map[replica.Rejection]int{}
	for _, f := range m.Facts {
		switch ok, why := store.Merge(now, f); {
		case why != "":
			refused[why]++
			s.count.Refused.Add(1)
		case ok:
			news++
			s.count.Merged.Add(1)
			s.tell(f)
		default:
			s.count.Known.Add(1)
		}
	}
	for why, n := range refused {
		s.log.Warn("fleet.replica.refused", zap.String("why", string(why)), zap.Int("facts", n),
			zap.String("from", m.From), zap.String("origin", m.Facts[0].Origin))
	}
	if m.From != "" && news > 0 { // a catch-up: the copies differed
		s.count.CaughtUp.Add(1)
		s.log.Info("fleet.replica.caught_up", zap.String("from", m.From), zap.Int("facts", len(m.Facts)),
			zap.Int("news", news), zap.String("rule", "the origin's newest word"), zap.String("digest", store.Digest()))
	}
}

// Summary is what a push-pull tells of this copy, as it was after the last event.
func (s *Service) Summary() []byte { return *s.summary.Load() }

// ReceiveSummary takes another copy's summary, and sends it what this one holds of the origins that differ: all to a copy
// that has just begun.
func (s *Service) ReceiveSummary(b []byte) {
	m, err := decode(b)
	if err != nil || m.From == "" {
		s.garbage(err)
		return
	}
	s.differ(m)
}

// differ sends a copy what it lacks by its summary, and asks for what this one lacks where the other began.
func (s *Service) differ(m message) {
	s.post(func(store *replica.Store) {
		facts := store.Differing(s.now(), m.Sums)
		for len(facts) > 0 {
			n := min(len(facts), chunk)
			if !s.queue(m.From, encode(message{From: s.self, Facts: facts[:n]})) {
				return
			}
			facts = facts[n:]
		}
		sums := store.Summary()
		for origin, sum := range m.Sums {
			if m.Ask && sums[origin] != sum {
				s.queue(m.From, encode(message{From: s.self, Sums: sums}))
				return
			}
		}
	})
}

// send sends catch-ups, one after another: a member that is slow holds up the others' for memberlist's timeout.
func (s *Service) send() {
	for {
		select {
		case o := <-s.outbox:
			for range sendTries { // past them, the next push-pull finds the difference again
				s.count.BytesSent.Add(uint64(len(o.msg)))
				err := s.gossip.Send(o.to, o.msg)
				if err == nil {
					break
				}
				s.log.Debug("fleet.replica.unsent", zap.Error(err))
				select {
				case <-time.After(sendPause):
				case <-s.done:
					return
				}
			}
		case <-s.done:
			return
		}
	}
}

// publish makes the store's state what State and Summary give.
func (s *Service) publish(store *replica.Store) {
	sums := encode(message{From: s.self, Sums: store.Summary()})
	s.summary.Store(&sums)
	s.state.Store(&State{Digest: store.Digest(), Facts: store.Facts(s.now()), At: time.Now()})
}

// budget is a token bucket of bytes. The store's owner uses it.
type budget struct {
	rate, left float64
	at         time.Time
}

func (b *budget) take(now time.Time, n float64) bool {
	if !b.at.IsZero() {
		b.left = min(b.left+b.rate*now.Sub(b.at).Seconds(), burst*b.rate)
	}
	b.at = now
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}
