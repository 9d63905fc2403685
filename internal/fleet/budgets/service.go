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
	// eventQueueSize bounds the queue of received messages.
	eventQueueSize = 1024
	// brokerTimeout bounds a call to the broker's event loop.
	brokerTimeout = 200 * time.Millisecond
	// requestsPerLease is the number of requests for the next lease during one lease, so that lost requests and grants do
	// not leave the broker without a lease.
	requestsPerLease = 4
	percent          = 100
)

// Broker is the broker whose requests the budgets limit.
type Broker interface {
	// Usage returns the requests of each tenant since the start, in the order of the tenants.
	Usage(ctx context.Context) ([]core.Usage, error)
	// SetQuotaShares sets the rates that may be spent until a time, and the fallback rates that apply afterwards.
	SetQuotaShares(shares decision.QuotaShares, until time.Time)
}

// Gossip sends and receives messages of other members; gossip.Channel implements it.
type Gossip interface {
	Handle(receive func(message []byte))
	Send(id string, message []byte) error
}

// Service obtains leases for one broker, and replicates the ledger if the broker is a voter.
type Service struct {
	config Config
	broker Broker
	gossip Gossip
	log    *zap.Logger
	start  time.Time
	holder *budget.Holder
	voter  *voter // nil if this member does not vote
	floor  []float64
	outbox *outbox

	voterIndex    int  // index of the voter that receives the requests
	voterAnswered bool // a grant has arrived since the last request
	leased        bool
	usage         []core.Usage
	demand        budget.DemandEstimator

	events    chan envelope
	state     atomic.Pointer[State]
	dropped   atomic.Uint64 // messages that were dropped because a queue was full
	done      chan struct{}
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// Start starts the service. The broker spends its floor until its first lease. A voter that cannot open its ledger takes
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
	// The holder's ID is unique to this process, because a restarted process is a new holder.
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

// divideFloor reserves the floor of each quota in equal shares for all brokers. It returns this broker's floors and the
// pools, which are left for leases.
func divideFloor(config *Config) (floor, pool []float64) {
	pool = make([]float64, len(config.Quotas))
	for i, quota := range config.Quotas {
		reserved := quota * float64(config.Section.FloorPercent) / percent
		floor = append(floor, reserved/float64(max(config.Instances, 1)))
		pool[i] = quota - reserved
	}
	return floor, pool
}

// Close ends all goroutines. It sets the broker's rates to 0, because the process that replaces this one spends the floor.
func (s *Service) Close() {
	s.closeOnce.Do(func() {
		zeroRates := make([]float64, len(s.floor))
		s.setShares(zeroRates, zeroRates, time.Time{})
		close(s.done)
		s.wg.Wait()
		if s.voter != nil {
			if err := s.voter.storage.close(); err != nil {
				s.log.Warn("fleet.budget.close", zap.Error(err))
			}
		}
	})
}

// State returns the state of this broker's lease after the last event.
func (s *Service) State() *State { return s.state.Load() }

// now returns the time since the start on this member's clock. The laboratory may configure the clock's rate.
func (s *Service) now() time.Duration {
	return time.Duration(float64(time.Since(s.start)) * s.config.Section.ClockRate)
}

// receive handles a message from another member. It is called on the gossip's goroutines.
func (s *Service) receive(data []byte) {
	m, err := decodeEnvelope(data)
	if err != nil {
		s.log.Warn("fleet.budget.refused", zap.Error(err))
		return
	}
	s.enqueue(m)
}

// enqueue queues a message for the goroutine that owns the state. If the queue is full, it drops and counts the message.
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

// withVoter calls a function with the voter, if this member is one. If the function fails, the member stops voting,
// because a voter must not promise what it cannot store. Raft panics if the log contradicts that of other voters, for
// example because the database was lost. withVoter recovers the panic, so that it does not end the broker's process.
func (s *Service) withVoter(do func(*voter) error) {
	if s.voter == nil {
		return
	}
	err := func() (err error) {
		defer func() {
			if p := recover(); p != nil {
				err = fmt.Errorf("budgets: Raft panicked: %v", p)
			}
		}()
		return do(s.voter)
	}()
	if err != nil {
		s.log.Error("fleet.budget.vote_lost", zap.Error(err), zap.NamedError("close", s.voter.storage.close()))
		s.voter = nil
	}
}

// handle handles a message from another member or from this one.
func (s *Service) handle(m envelope) {
	now := s.now()
	switch {
	case m.Grant != nil:
		s.voterAnswered = true
		if s.holder.Accept(now, *m.Grant) {
			s.applyAllowance(now)
		}
	case s.voter == nil:
		// All other messages are only for voters.
	case m.Raft != nil:
		s.withVoter(func(v *voter) error {
			if err := v.step(m.Raft); err != nil {
				s.log.Debug("fleet.raft", zap.Error(err)) // a rejected message has no effect on Raft's state
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

// requestLease requests the next lease. It sends the request to the same voter as before if a grant has arrived since, and
// otherwise to the next voter in the list.
func (s *Service) requestLease() {
	s.sampleDemand()
	now := s.now()
	s.applyAllowance(now) // falls back to the floor if the lease has ended
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

// send sends a message to a member, which may be this one. It does not block.
func (s *Service) send(to string, m envelope) {
	if to == s.config.Self {
		s.enqueue(m)
		return
	}
	s.outbox.send(to, encode(m))
}

// splitHolder splits a holder's ID into the member's ID and the identifier of its process.
func splitHolder(holder string) (member, process string) {
	if i := strings.LastIndexByte(holder, '#'); i >= 0 {
		return holder[:i], holder[i+1:]
	}
	return holder, ""
}
