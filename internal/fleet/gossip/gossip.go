package gossip

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"dykering/internal/fleet/membership"
)

const (
	// eventQueueSize bounds each of the queues of memberlist's events and messages that wait for the owner of the view.
	eventQueueSize = 1024
	// changeQueueSize bounds the changes that wait for their subscriber; see Changes.
	changeQueueSize = 1024
	// leaveTimeout bounds the wait until other members have received that this one leaves.
	leaveTimeout = 2 * time.Second
)

// Snapshot is the view after its last change, as the control address serves it.
type Snapshot struct {
	Self    string              `json:"self"`
	Number  uint64              `json:"number"`
	Digest  string              `json:"digest"`
	Health  int                 `json:"health"` // Health is memberlist's awareness: 0 is healthy, more is a member that is slow itself.
	Members []membership.Member `json:"members"`
}

// Gossip is a running member of the fleet. Its methods may be called by many goroutines.
type Gossip struct {
	list    *memberlist.Memberlist
	live    *liveNodes
	log     *zap.Logger
	self    membership.Observation
	section Section

	events   chan memberlist.NodeEvent
	messages chan memberMessage
	// leaving has the IDs of members that announced that they leave, until memberlist reports their departure.
	leaving sync.Map

	snapshot      atomic.Pointer[Snapshot]
	changes       chan membership.Change
	hasSubscriber atomic.Bool
	counters      Counters

	replica    atomic.Pointer[Replica]
	handlers   [numKinds]atomic.Pointer[func([]byte)]
	broadcasts memberlist.TransmitLimitedQueue

	joinOnce  sync.Once
	join      chan struct{} // closed by Join
	closeOnce sync.Once
	done      chan struct{} // closed by Close
	ended     chan struct{} // closed when the owner of the view has ended
}

// Start makes the broker a member of the fleet, with metadata about it. Other members can join it; it joins them from
// Join on. It owns memberlist's goroutines and one of its own until Close.
func Start(section Section, meta membership.Meta, logger *zap.Logger) (*Gossip, error) {
	meta.Weight = uint16(section.Weight)
	g := &Gossip{
		live: newLiveNodes(), log: logger, section: section,
		self: membership.Observation{
			ID: section.ID, State: membership.Alive, Meta: meta, Incarnation: incarnation(meta),
		},
		events:   make(chan memberlist.NodeEvent, eventQueueSize),
		messages: make(chan memberMessage, eventQueueSize),
		changes:  make(chan membership.Change, changeQueueSize),
		join:     make(chan struct{}),
		done:     make(chan struct{}),
		ended:    make(chan struct{}),
	}
	config, err := g.memberlistConfig()
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	g.broadcasts.RetransmitMult = config.RetransmitMult
	g.broadcasts.NumNodes = func() int { return len(g.snapshot.Load().Members) }
	if g.list, err = memberlist.Create(config); err != nil {
		return nil, fmt.Errorf("gossip: %w", errors.Join(err, config.Transport.Shutdown()))
	}
	g.self.Addr = g.list.LocalNode().Address()
	limits := membership.Limits{MaxMembers: section.MaxMembers, Retention: time.Duration(section.DeadRetention)}
	owner := newViewOwner(g, membership.New(g.self, limits, time.Now()))
	owner.publish()
	go owner.run()
	g.log.Info("fleet.started", zap.String("id", section.ID), zap.String("addr", g.self.Addr))
	return g, nil
}

// incarnation is the second in which a process started: a process that starts again under the same ID is newer.
// memberlist's own incarnation, which a refutation raises, is not part of its interface.
func incarnation(meta membership.Meta) uint32 { return uint32(meta.Started.Unix()) }

// Join starts to join the fleet through the seeds, and goes on for as long as no other member is known. It does not
// wait. Replicas that take part in the first exchange are attached before.
func (g *Gossip) Join() { g.joinOnce.Do(func() { close(g.join) }) }

// Changes returns the changes of the view from the first call on. It has one subscriber; changes that do not fit into
// its queue are dropped and counted as lost.
func (g *Gossip) Changes() <-chan membership.Change {
	g.hasSubscriber.Store(true)
	return g.changes
}

// View returns the view after its last change.
func (g *Gossip) View() *Snapshot { return g.snapshot.Load() }

// Counters returns the counters, which go on counting.
func (g *Gossip) Counters() *Counters { return &g.counters }

// Close announces to other members that this one leaves, and ends all goroutines.
func (g *Gossip) Close() error {
	var err error
	g.closeOnce.Do(func() {
		err = g.list.Leave(leaveTimeout)
		close(g.done)
		<-g.ended
		err = errors.Join(err, g.list.Shutdown())
	})
	return err
}
