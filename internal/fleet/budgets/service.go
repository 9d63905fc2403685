package budgets

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
	"dykering/internal/decision"
	"dykering/internal/fleet/budget"
)

const (
	// eventQueueSize bounds the messages that wait for the owner of the state.
	eventQueueSize = 1024
	// brokerTimeout bounds the wait for the broker's event loop.
	brokerTimeout = 200 * time.Millisecond
	// requestsPerLease is how many times a lease is asked for anew while it holds.
	requestsPerLease = 4
	percent          = 100
)

// Broker is whose requests the budgets are for.
type Broker interface {
	// Usage returns what was asked of each tenant since the start, in the order of the tenants.
	Usage(ctx context.Context) ([]core.Usage, error)
	// SetQuotaShares sets what may be spent until a time, and by the fallback shares from then on.
	SetQuotaShares(shares decision.QuotaShares, until time.Time)
}

// Gossip reaches the other members; see gossip.Channel.
type Gossip interface {
	Handle(receive func(message []byte))
	Send(id string, message []byte) error
}

// Service takes part in the budgets for one broker.
type Service struct {
	config Config
	broker Broker
	gossip Gossip
	log    *zap.Logger
	start  time.Time
	holder *budget.Holder
	voter  *voter // nil for a member that does not vote
	floor  []float64
	outbox *outbox

	voterIndex    int  // the voter that is asked, by its place in the list
	voterAnswered bool // the voter has answered since the last request
	leased        bool
	usage         []core.Usage
	demand        budget.DemandEstimator

	events    chan envelope
	state     atomic.Pointer[State]
	dropped   atomic.Uint64 // messages that did not fit into a queue
	done      chan struct{}
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// Start begins to take part. The broker spends by its floor from the start on. A voter that cannot open its ledger takes
// part without a vote.
func Start(config Config, broker Broker, g Gossip, log *zap.Logger) *Service {
	section := &config.Section
	if section.RetryQuota > 0 {
		config.Tenants = append(slices.Clone(config.Tenants), RetryQuotaName)
		config.Quotas = append(slices.Clone(config.Quotas), section.RetryQuota)
	}
	s := &Service{
		config: config, broker: broker, gossip: g, log: log, start: time.Now(),
		events: make(chan envelope, eventQueueSize), done: make(chan struct{}),
	}
	s.outbox = newOutbox(s)
	s.demand.Sample(s.now(), make([]float64, len(config.Quotas)))
	floor, pool := divideFloor(&config)
	s.floor = floor
	terms := budget.Terms{LeaseDuration: time.Duration(section.LeaseDuration), MaxDrift: float64(section.MaxDriftPercent) / percent}
	// Another process under the same ID is another holder.
	holderID := fmt.Sprintf("%s#%d", config.Self, time.Now().UnixNano())
	s.holder = budget.NewHolder(holderID, float64(config.Weight), terms, floor)
	s.voterIndex = int(time.Now().UnixNano()) % max(len(section.Voters), 1)
	if slices.Contains(section.Voters, config.Self) {
		var err error
		if s.voter, err = newVoter(config.Self, section.Voters, section.Directory, terms, pool, log, s.send); err != nil {
			log.Error("fleet.budget.vote_lost", zap.Error(err))
		}
	}
	s.applyAllowance(s.now())
	g.Handle(s.receive)
	s.wg.Go(s.run)
	return s
}

// divideFloor sets the floor of each quota aside, in equal parts for all brokers, and returns this broker's and what is
// left for leases.
func divideFloor(config *Config) (floor, pool []float64) {
	pool = make([]float64, len(config.Quotas))
	for i, whole := range config.Quotas {
		aside := whole * float64(config.Section.FloorPercent) / percent
		floor = append(floor, aside/float64(max(config.Instances, 1)))
		pool[i] = whole - aside
	}
	return floor, pool
}

// Close ends all goroutines. The broker spends nothing within its share from then on: a process that takes its place has
// the floor.
func (s *Service) Close() {
	s.closeOnce.Do(func() {
		none := make([]float64, len(s.floor))
		s.setShares(none, none, time.Time{})
		close(s.done)
		s.wg.Wait()
		if s.voter != nil {
			if err := s.voter.storage.close(); err != nil {
				s.log.Warn("fleet.budget.close", zap.Error(err))
			}
		}
	})
}

// State returns what this broker holds, after the last event.
func (s *Service) State() *State { return s.state.Load() }

// now is this member's clock, which the laboratory may have run fast or slow.
func (s *Service) now() time.Duration {
	return time.Duration(float64(time.Since(s.start)) * s.config.Section.ClockRate)
}

// receive receives a message on the gossip's goroutines.
func (s *Service) receive(text []byte) {
	m, err := decodeEnvelope(text)
	if err != nil {
		s.log.Warn("fleet.budget.refused", zap.Error(err))
		return
	}
	s.enqueue(m)
}

// enqueue queues a message for the owner of the state, or counts it as lost.
func (s *Service) enqueue(m envelope) {
	select {
	case s.events <- m:
	default:
		s.dropped.Add(1)
	}
}

// run is the goroutine that owns the state.
func (s *Service) run() {
	lease := time.Duration(s.config.Section.LeaseDuration)
	tick := time.NewTicker(lease / ticksPerLease)
	defer tick.Stop()
	renew := time.NewTicker(lease / requestsPerLease)
	defer renew.Stop()
	s.requestLease()
	for {
		select {
		case m := <-s.events:
			s.handle(m)
		case <-tick.C:
			s.withVoter(func(v *voter) error {
				v.tick(s.now())
				return nil
			})
			s.outbox.closeIdleQueues()
		case <-renew.C:
			s.requestLease()
		case <-s.done:
			s.outbox.closeQueues()
			return
		}
		s.withVoter(func(v *voter) error { return v.process(s.now()) })
		s.publish()
	}
}

// withVoter does something as a voter. Where that fails the member votes no more: what a voter cannot store it must not
// promise. Raft panics where its log contradicts what others hold, as one does that was lost; that must not end the broker.
func (s *Service) withVoter(do func(*voter) error) {
	if s.voter == nil {
		return
	}
	err := func() (err error) {
		defer func() {
			if p := recover(); p != nil {
				err = fmt.Errorf("budgets: raft: %v", p)
			}
		}()
		return do(s.voter)
	}()
	if err != nil {
		s.log.Error("fleet.budget.vote_lost", zap.Error(err), zap.NamedError("close", s.voter.storage.close()))
		s.voter = nil
	}
}

// handle handles a message of another member, or of this one.
func (s *Service) handle(m envelope) {
	now := s.now()
	switch {
	case m.Grant != nil:
		s.voterAnswered = true
		if s.holder.Accept(now, *m.Grant) {
			s.applyAllowance(now)
		}
	case s.voter == nil:
		// All other messages are for voters.
	case m.Raft != nil:
		s.withVoter(func(v *voter) error {
			if err := v.step(m.Raft); err != nil {
				s.log.Debug("fleet.raft", zap.Error(err)) // Raft ignores a message that does not fit
			}
			return nil
		})
	case m.Request != nil && s.voter.grantor != nil:
		s.voter.grantor.Receive(now, *m.Request)
	case m.Request != nil && !m.Forwarded:
		if leader, known := s.voter.leader(); known {
			s.send(leader, envelope{Request: m.Request, Forwarded: true})
		}
	}
}

// requestLease asks a voter for the next lease: the one that answered last, else the next in the list.
func (s *Service) requestLease() {
	s.sampleDemand()
	now := s.now()
	s.applyAllowance(now) // where a lease has ended
	request := s.holder.NextRequest(now, s.demand.Rates())
	if s.voter != nil {
		s.handle(envelope{Request: &request})
		return
	}
	voters := s.config.Section.Voters
	if !s.voterAnswered {
		s.voterIndex = (s.voterIndex + 1) % len(voters)
	}
	s.voterAnswered = false
	s.send(voters[s.voterIndex], envelope{Request: &request})
}

// send sends a message to a member, or to this one. It does not block.
func (s *Service) send(to string, m envelope) {
	if to == s.config.Self {
		s.enqueue(m)
		return
	}
	s.outbox.send(to, encode(m))
}

// splitHolder returns the member of a holder, and its process.
func splitHolder(holder string) (member, process string) {
	if i := strings.LastIndexByte(holder, '#'); i >= 0 {
		return holder[:i], holder[i+1:]
	}
	return holder, ""
}
