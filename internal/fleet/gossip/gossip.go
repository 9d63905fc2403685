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
	// eventQueueSize bounds each of the two queues, of memberlist's events and of its messages, that the view owner reads.
	eventQueueSize = 1024
	// changeQueueSize bounds the queue of changes that a subscriber reads; see Changes.
	changeQueueSize = 1024
	// leaveTimeout bounds how long Close waits until other members have received this member's departure.
	leaveTimeout = 2 * time.Second
)

// Snapshot is a copy of the view after its last change, in the form that the control address serves.
type Snapshot struct {
	Self   string `json:"self"`
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	// Health is memberlist's local health score: 0 is healthy; a higher score means that this member itself is slow.
	Health  int                 `json:"health"`
	Members []membership.Member `json:"members"`
}

// Gossip is a running member of the fleet. Its methods are safe for concurrent use.
type Gossip struct {
	list    *memberlist.Memberlist
	live    *liveNodes
	log     *zap.Logger
	self    membership.Observation
	section Section

	events   chan memberlist.NodeEvent
	messages chan memberMessage
	// leaving holds the IDs of members that announced their departure, until memberlist reports it.
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
	ended     chan struct{} // closed when the view owner's goroutine has ended
}

// Start makes the broker a member of the fleet with the given metadata. Other members can join it from now on; it joins
// other members once Join is called. It runs memberlist's goroutines and one of its own until Close.
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
		return nil, fmt.Errorf("gossip: configure memberlist: %w", err)
	}
	g.broadcasts.RetransmitMult = config.RetransmitMult
	g.broadcasts.NumNodes = func() int { return len(g.snapshot.Load().Members) }
	if g.list, err = memberlist.Create(config); err != nil {
		return nil, fmt.Errorf("gossip: start memberlist: %w", errors.Join(err, config.Transport.Shutdown()))
	}
	g.self.Addr = g.list.LocalNode().Address()
	limits := membership.Limits{MaxMembers: section.MaxMembers, Retention: time.Duration(section.DeadRetention)}
	owner := newViewOwner(g, membership.New(g.self, limits, time.Now()))
	owner.publish()
	go owner.run()
	g.log.Info("fleet.started", zap.String("id", section.ID), zap.String("addr", g.self.Addr))
	return g, nil
}

// incarnation returns the start time of a process in seconds, so that a restarted process with the same ID has a higher
// incarnation. memberlist's own incarnation, which a refutation raises, is not part of its API.
func incarnation(meta membership.Meta) uint32 { return uint32(meta.Started.Unix()) }

// Join starts joining the fleet through the seeds and returns at once. The attempts are repeated while no other member
// is known. A replica has to be attached before Join to take part in the first push-pull.
func (g *Gossip) Join() { g.joinOnce.Do(func() { close(g.join) }) }

// Changes returns a channel of the view's changes from the first call on. There is one subscriber. Changes that do not
// fit into the channel's buffer are dropped and counted in Counters.Lost.
func (g *Gossip) Changes() <-chan membership.Change {
	g.hasSubscriber.Store(true)
	return g.changes
}

// View returns a copy of the view after its last change.
func (g *Gossip) View() *Snapshot { return g.snapshot.Load() }

// Counters returns the live counters.
func (g *Gossip) Counters() *Counters { return &g.counters }

// Close announces this member's departure to the other members, and ends all goroutines.
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
