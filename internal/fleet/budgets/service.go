// Package budgets divides tenants' quotas among the live brokers of a fleet, by leases (package budget). A few members,
// the voters, replicate the ledger of what was given by Raft (go.etcd.io/raft/v3), kept in bbolt; the one that leads
// grants. Every broker asks for its next lease several times while one holds, spends by it for as long as its own clock
// says, and by its floor without one. One goroutine owns all of it; messages go over the gossip's streams.
package budgets

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"go.uber.org/zap"

	"dykering/internal/core"
	"dykering/internal/decision"
	"dykering/internal/fleet/budget"
	"dykering/internal/fleet/gossip"
)

const (
	// queued bounds the messages that wait for the owner, and outgoing those that wait to be sent to one member: what does
	// not fit is lost, as on a link, and asked for or sent again.
	queued   = 1024
	outgoing = 64
	// mostBytes bounds a message that is taken: a snapshot of the ledger of some thousand holders.
	mostBytes = 4 << 20
	// mostPeers bounds the members that messages are sent to at a time; the queue of one that is idle ends.
	mostPeers = 4096
	idleAfter = 30 * time.Second
	// askTimeout bounds the wait for the core's loop.
	askTimeout = 200 * time.Millisecond
	// renewals is how many times a lease is asked for anew while it holds.
	renewals = 4
)

// Broker is whose requests the budgets are of.
type Broker interface {
	Usage(ctx context.Context) ([]core.Usage, error)
	SetQuotaShares(a decision.QuotaShares, until time.Time)
}

// Gossip is how members are reached.
type Gossip interface {
	Handle(take func(msg []byte))
	Send(id string, msg []byte) error
}

// Config is what a service is started with.
type Config struct {
	Self      string
	Weight    int
	Section   gossip.Budgets
	Tenants   []string
	Wholes    []float64 // requests a second, by tenant
	Instances int       // that floors are set aside for
}

// Part is what this broker may spend of a whole, in requests a second.
type Part struct {
	Tenant  string  `json:"tenant"`
	Whole   float64 `json:"whole"`
	Floor   float64 `json:"floor"`
	Part    float64 `json:"part"` // the floor in it
	Demand  float64 `json:"demand"`
	Asked   float64 `json:"asked"`   // requests since the start that are no repeats
	Within  float64 `json:"within"`  // of them, within the part
	Charged float64 `json:"charged"` // at a voter: what all leases come to, as the ledger has it
}

// RetriesName stands for a tenant's where the whole is that of the fleet's further attempts.
const RetriesName = "(further attempts)"

// State is what a broker holds.
type State struct {
	Self    string         `json:"self"`
	Leased  bool           `json:"leased"`
	Left    time.Duration  `json:"left"` // of the lease
	Version uint64         `json:"version"`
	Lead    string         `json:"lead,omitempty"` // as this voter knows it
	Parts   []Part         `json:"parts"`
	Ledger  *budget.Ledger `json:"ledger,omitempty"` // at a voter
}

// envelope is a message among members.
type envelope struct {
	Raft  []byte          `codec:"r,omitempty"`
	Ask   *budget.Request `codec:"a,omitempty"`
	Sent  bool            `codec:"s,omitempty"` // a voter sent it on to the one that leads
	Grant *budget.Grant   `codec:"g,omitempty"`
}

func encode(m any) []byte {
	var b []byte
	codec.NewEncoderBytes(&b, &codec.MsgpackHandle{}).MustEncode(m) // of types that it knows
	return b
}

func decode(b []byte, m any) error { return codec.NewDecoderBytes(b, &codec.MsgpackHandle{}).Decode(m) }

// Service is a running part in the budgets.
type Service struct {
	config Config
	broker Broker
	gossip Gossip
	log    *zap.Logger
	holder *budget.Holder
	group  *group // nil for one that does not vote
	floor  []float64
	voter  int // that is asked
	heard  bool
	leased bool
	uses   []core.Usage
	demand budget.Demand
	began  time.Time
	events chan envelope
	state  atomic.Pointer[State]
	lost   atomic.Uint64
	done   chan struct{}
	wg     sync.WaitGroup
	once   sync.Once
	peers  peers
}

// Start begins to take part. From before its first request the broker spends by its floor. A voter that cannot open its
// ledger takes part without a vote.
func Start(c Config, broker Broker, g Gossip, log *zap.Logger) *Service {
	terms := budget.Terms{Length: time.Duration(c.Section.Lease), Drift: float64(c.Section.Drift) / 100}
	if c.Section.Retries > 0 {
		c.Tenants, c.Wholes = append(slices.Clone(c.Tenants), RetriesName), append(slices.Clone(c.Wholes), c.Section.Retries)
	}
	s := &Service{
		config: c, broker: broker, gossip: g, log: log, began: time.Now(), events: make(chan envelope, queued),
		done: make(chan struct{}),
	}
	s.demand.Sample(s.now(), make([]float64, len(c.Wholes)))
	pool := make([]float64, len(c.Wholes))
	for i, w := range c.Wholes {
		aside := w * float64(c.Section.Floor) / 100
		s.floor = append(s.floor, aside/float64(max(c.Instances, 1)))
		pool[i] = w - aside
	}
	// Another process under the same id is another holder.
	s.holder = budget.NewHolder(fmt.Sprintf("%s#%d", c.Self, time.Now().UnixNano()), float64(c.Weight), terms, s.floor)
	s.peers = peers{s: s, out: map[string]*peer{}}
	s.voter = int(time.Now().UnixNano()) % max(len(c.Section.Voters), 1)
	if slices.Contains(c.Section.Voters, c.Self) {
		var err error
		if s.group, err = newGroup(c.Self, c.Section.Voters, c.Section.Dir, terms, pool, log, s.send); err != nil {
			log.Error("fleet.budget.vote_lost", zap.Error(err)) // the broker serves all the same, by leases of the others or its floor
		}
	}
	s.allot(s.now())
	g.Handle(s.take)
	s.wg.Go(s.own)
	return s
}

// Close ends its goroutines. The broker spends nothing within shares from then on: a process that takes its place
// has the floor.
func (s *Service) Close() {
	s.once.Do(func() {
		none := make([]float64, len(s.floor))
		s.spend(none, none, time.Time{})
		close(s.done)
		s.wg.Wait()
		if s.group != nil {
			if err := s.group.disk.close(); err != nil {
				s.log.Warn("fleet.budget.close", zap.Error(err))
			}
		}
	})
}

// State is what this broker holds, after the last event.
func (s *Service) State() *State { return s.state.Load() }

// now is this member's clock. The laboratory may have it run fast or slow.
func (s *Service) now() time.Duration {
	return time.Duration(float64(time.Since(s.began)) * s.config.Section.Rate)
}

// take takes a message, on the gossip's goroutines.
func (s *Service) take(b []byte) {
	var m envelope
	err := fmt.Errorf("%d bytes are more than %d", len(b), mostBytes)
	if len(b) <= mostBytes {
		err = decode(b, &m)
	}
	if err != nil {
		s.log.Warn("fleet.budget.refused", zap.Error(err))
		return
	}
	select {
	case s.events <- m:
	default:
		s.lost.Add(1)
	}
}

// splitHolder is the member of a holder, and its process.
func splitHolder(holder string) (member, process string) {
	if i := strings.LastIndexByte(holder, '#'); i >= 0 {
		return holder[:i], holder[i+1:]
	}
	return holder, ""
}

// own is the one goroutine that changes anything.
func (s *Service) own() {
	lease := time.Duration(s.config.Section.Lease)
	tick, renew := time.NewTicker(lease/ticksOfLease), time.NewTicker(lease/renewals)
	defer tick.Stop()
	defer renew.Stop()
	s.ask()
	for {
		select {
		case m := <-s.events:
			s.heed(m)
		case <-tick.C:
			s.vote(func(g *group) error {
				g.node.Tick()
				g.decide(s.now())
				return nil
			})
			s.peers.sweep()
		case <-renew.C:
			s.ask()
		case <-s.done:
			s.peers.end()
			return
		}
		s.vote(func(g *group) error { return g.work(s.now()) })
		s.publish()
	}
}

// vote does something as a voter. What it cannot keep it must not promise: where that fails it votes no more. The others
// go on, and it spends by its leases. Raft panics where its log contradicts what others hold, as one that was lost does:
// that is no reason to end the broker.
func (s *Service) vote(do func(*group) error) {
	if s.group == nil {
		return
	}
	err := func() (err error) {
		defer func() {
			if p := recover(); p != nil {
				err = fmt.Errorf("budgets: raft: %v", p)
			}
		}()
		return do(s.group)
	}()
	if err != nil {
		s.log.Error("fleet.budget.vote_lost", zap.Error(err), zap.NamedError("close", s.group.disk.close()))
		s.group = nil
	}
}

// heed takes a message in.
func (s *Service) heed(m envelope) {
	now := s.now()
	switch {
	case m.Grant != nil:
		s.heard = true
		if s.holder.Accept(now, *m.Grant) {
			s.allot(now)
		}
	case s.group == nil: // not for this one
	case m.Raft != nil:
		s.vote(func(g *group) error {
			if err := g.step(m.Raft); err != nil {
				s.log.Debug("fleet.raft", zap.Error(err)) // a message that does not fit
			}
			return nil
		})
	case m.Ask != nil && s.group.grantor != nil:
		s.group.grantor.Receive(now, *m.Ask)
	case m.Ask != nil && !m.Sent:
		if lead, known := s.group.leader(); known {
			s.send(lead, envelope{Ask: m.Ask, Sent: true})
		}
	}
}

// ask asks a voter for the next lease: the one asked last if that was answered, else the next.
func (s *Service) ask() {
	s.measure()
	now := s.now()
	s.allot(now) // where a lease has ended
	r := s.holder.NextRequest(now, s.demand.Rates())
	if s.group != nil {
		s.heed(envelope{Ask: &r})
		return
	}
	if !s.heard {
		s.voter = (s.voter + 1) % len(s.config.Section.Voters)
	}
	s.heard = false
	s.send(s.config.Section.Voters[s.voter], envelope{Ask: &r})
}

// measure takes what was asked of this broker since into its demand.
func (s *Service) measure() {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	uses, err := s.broker.Usage(ctx)
	asked := make([]float64, len(s.floor))
	if err != nil || len(uses) > len(asked) { // before the first list there are none
		return
	}
	requests, quotas := 0.0, 0.0
	for i, u := range uses {
		asked[i] = u.Asked
		requests += u.Asked
		quotas += s.config.Wholes[i]
	}
	if s.config.Section.Retries > 0 && quotas > 0 { // wanted where requests come
		asked[len(asked)-1] = requests * s.config.Section.Retries / quotas
	}
	s.demand.Sample(s.now(), asked)
	s.uses = uses
}

// spend has the broker spend by parts until a time and by floors from then on, of which those of further attempts are
// the last. The broker itself ends the parts: this goroutine may look late.
func (s *Service) spend(parts, floors []float64, until time.Time) {
	a := decision.QuotaShares{TenantRates: parts, TenantFallbackRates: floors, RetryRate: -1}
	if n := len(parts) - 1; s.config.Section.Retries > 0 {
		a = decision.QuotaShares{TenantRates: parts[:n], TenantFallbackRates: floors[:n], RetryRate: parts[n], RetryFallbackRate: floors[n]}
	}
	s.broker.SetQuotaShares(a, until)
}

// allot has the broker spend by what it holds. Each time that changes, a line tells from when until when, by the wall's
// clock: the parts of all brokers add up to the wholes at each instant, and their logs show it.
func (s *Service) allot(now time.Duration) {
	parts, leased := s.holder.Allowance(now)
	if s.state.Load() != nil && !leased && !s.leased {
		s.spend(s.floor, s.floor, time.Time{}) // further attempts that the floor brought since
		return
	}
	wall := time.Now()
	var until time.Time
	if leased { // to the moment: by the clock that the lease was asked by
		until = s.began.Add(time.Duration(float64(now+s.holder.Remaining(now)) / s.config.Section.Rate))
	}
	s.spend(parts, s.floor, until)
	fields := []zap.Field{
		zap.Uint64("version", s.holder.Version()), zap.Float64s("parts", parts), zap.Float64s("demand", s.demand.Rates()),
		zap.Int64("from_us", wall.UnixMicro()),
	}
	switch {
	case leased:
		s.log.Info("fleet.budget.lease", append(fields, zap.Int64("until_us", until.UnixMicro()))...)
	case s.leased:
		s.log.Warn("fleet.budget.floor", append(fields, zap.String("why", "no grant came before the lease ended"))...)
	default:
		s.log.Info("fleet.budget.floor", append(fields, zap.String("why", "no lease yet"))...)
	}
	s.leased = leased
}

func (s *Service) publish() {
	now := s.now()
	parts, leased := s.holder.Allowance(now)
	if s.leased && !leased {
		s.allot(now)
	}
	st := &State{Self: s.config.Self, Leased: leased, Left: s.holder.Remaining(now), Version: s.holder.Version()}
	demand := s.demand.Rates()
	var charged []float64
	if s.group != nil {
		st.Lead, _ = s.group.leader()
		charged = s.group.ledger.ChargedExcept("")
		st.Ledger = &budget.Ledger{Pool: s.group.ledger.Pool, Version: s.group.ledger.Version, Grants: map[string][]budget.Grant{}}
		for h, grants := range s.group.ledger.Grants {
			st.Ledger.Grants[h] = slices.Clone(grants)
		}
	}
	for i, tenant := range s.config.Tenants {
		p := Part{Tenant: tenant, Whole: s.config.Wholes[i], Floor: s.floor[i], Part: parts[i], Demand: demand[i]}
		if i < len(s.uses) {
			p.Asked, p.Within = s.uses[i].Asked, s.uses[i].WithinQuota
		}
		if charged != nil {
			p.Charged = charged[i]
		}
		st.Parts = append(st.Parts, p)
	}
	s.state.Store(st)
}

// send sends a member a message, or this one itself. It does not block.
func (s *Service) send(to string, m envelope) {
	if to == s.config.Self {
		select {
		case s.events <- m:
		default:
			s.lost.Add(1)
		}
		return
	}
	s.peers.send(to, encode(m))
}

// peers send messages, one queue and goroutine for each member that there is something for, so that one that is slow or
// gone holds up no other. The service's owner uses them.
type peers struct {
	s   *Service
	out map[string]*peer
}

type peer struct {
	queue chan []byte
	used  time.Time
}

func (p *peers) send(to string, msg []byte) {
	x := p.out[to]
	if x == nil {
		if len(p.out) >= mostPeers {
			p.s.lost.Add(1)
			return
		}
		x = &peer{queue: make(chan []byte, outgoing)}
		p.out[to] = x
		p.s.wg.Go(func() {
			for msg := range x.queue {
				select {
				case <-p.s.done: // a queue to a member that is gone would hold up the end, a timeout for each message
					return
				default:
				}
				if err := p.s.gossip.Send(to, msg); err != nil {
					p.s.log.Debug("fleet.budget.unsent", zap.Error(err)) // it is asked for, or sent, again
				}
			}
		})
	}
	x.used = time.Now()
	select {
	case x.queue <- msg:
	default:
		p.s.lost.Add(1)
	}
}

// sweep ends the queues of members that nothing was sent to for a while.
func (p *peers) sweep() {
	for id, x := range p.out {
		if time.Since(x.used) > idleAfter {
			close(x.queue)
			delete(p.out, id)
		}
	}
}

func (p *peers) end() {
	for id, x := range p.out {
		close(x.queue)
		delete(p.out, id)
	}
}
