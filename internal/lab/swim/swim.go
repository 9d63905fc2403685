package swim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dykering/internal/fleet/membership"
)

// Settings are the settings of the protocol. The names follow memberlist's configuration.
type Settings struct {
	ProbeInterval, ProbeTimeout, GossipInterval time.Duration
	SuspicionMult, SuspicionMaxMult             int
	IndirectChecks, GossipNodes, RetransmitMult int
	Latency                                     time.Duration // one way, on every link
}

// LAN returns the values of memberlist's DefaultLANConfig.
func LAN() Settings {
	return Settings{
		ProbeInterval: time.Second, ProbeTimeout: 500 * time.Millisecond,
		GossipInterval: 200 * time.Millisecond, SuspicionMult: 4, SuspicionMaxMult: 6, IndirectChecks: 3,
		GossipNodes: 3, RetransmitMult: 4, Latency: 200 * time.Microsecond,
	}
}

// Message sizes in bytes, from which the gossip traffic is computed.
const (
	headerBytes = 40
	updateBytes = 48
	// maxUpdatesPerMessage is the number of updates that memberlist can put into a packet of 1,400 bytes.
	maxUpdatesPerMessage = 12
)

// member is the state of one simulated broker.
type member struct {
	up, stalled bool
	incarnation uint32
	view        *membership.View
	// state and incarnations are what the member knows of each other member.
	state        []membership.State
	incarnations []uint32
	// suspected is the time at which the suspicion of each other member began; -1 if there is none.
	suspected []time.Duration
	// confirmations counts the confirmations of each suspicion.
	confirmations []int
	// queue contains the updates that wait for gossip.
	queue []queuedUpdate
	// order is the probe order, and next the position of the next member in it.
	order []int
	next  int
	// acknowledged contains the open probes by sequence number, and whether an ack has arrived.
	acknowledged map[uint64]bool
	// reconnect counts probes; every fifth one also starts a reconnection.
	reconnect int
}

// Kinds of events.
const (
	probeTick = iota
	gossipTick
	probeTimedOut      // no ack arrived within ProbeTimeout: indirect probes are sent
	probeIntervalEnded // the probe interval has ended: without an ack the target is suspected
	suspicionExpired   // a suspicion may have expired
	deliverGossip      // a gossip message arrives
	deliverPing        // a ping arrives, which is answered by an ack
	deliverAck         // an ack for a sequence number arrives
	deliverPingRequest // a ping request arrives: the target is pinged on behalf of the sender
	reconnectTick      // a dead member is asked to join again
)

// Fleet is a simulated fleet of members. Members are identified by their indexes.
type Fleet struct {
	settings     Settings
	members      []*member
	now          time.Duration
	queue        events
	random       *rand.Rand
	lastSequence uint64
	lastEventID  int
	loss         float64
	// partition is the set of each member during a partition; 0 if the member is in none.
	partition []int
	start     time.Time
	// Stats are the counters of the fleet so far.
	Stats Stats
	// OnChange is called at each change of the view of a member; may be nil.
	OnChange func(viewer int, c membership.Change)
}

// Stats are counters of the fleet.
type Stats struct {
	Messages, Bytes, Suspicions, Refutations, Deaths uint64
	// FalseSuspicions and FalseDeaths count the cases in which a running member is suspected, or declared dead,
	// in one of its incarnations. A case counts once, even if many members learn of it.
	FalseSuspicions, FalseDeaths int
	// episodes contains the counted cases by member, incarnation and state.
	episodes map[[3]uint32]bool
}

// New creates a fleet of n members that all consider each other alive. The timers of the members start with
// random phases.
func New(n int, s Settings, seed uint64) *Fleet {
	f := &Fleet{
		settings: s, random: rand.New(rand.NewPCG(seed, seed+1)), partition: make([]int, n),
		start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for i := range n {
		m := &member{
			up: true, incarnation: 1, state: make([]membership.State, n), incarnations: make([]uint32, n),
			suspected: make([]time.Duration, n), confirmations: make([]int, n), acknowledged: map[uint64]bool{},
		}
		m.view = membership.New(f.observation(i, 1, membership.Alive), membership.Limits{
			MaxMembers: n + 1,
			Retention:  10 * time.Minute,
		}, f.start)
		for j := range n {
			m.incarnations[j], m.suspected[j] = 1, -1
			if j != i {
				m.view.Observe(f.observation(j, 1, membership.Alive), f.start)
			}
		}
		m.order = f.random.Perm(n)
		f.members = append(f.members, m)
		f.schedule(time.Duration(f.random.Int64N(int64(s.ProbeInterval))), &event{kind: probeTick, from: i})
		f.schedule(time.Duration(f.random.Int64N(int64(s.GossipInterval))), &event{kind: gossipTick, from: i})
	}
	return f
}

// observation returns what a view observes of member i.
func (f *Fleet) observation(i int, inc uint32, s membership.State) membership.Observation {
	return membership.Observation{
		ID: fmt.Sprintf("b%04d", i), Incarnation: inc, State: s,
		Meta: membership.Meta{Started: f.start, Weight: 1},
	}
}

// schedule schedules an event after a duration.
func (f *Fleet) schedule(d time.Duration, e *event) {
	e.at = f.now + d
	f.lastEventID++
	e.id = f.lastEventID
	heap.Push(&f.queue, e)
}

// Now returns the virtual time since the start of the fleet.
func (f *Fleet) Now() time.Duration { return f.now }

// Run runs the fleet until a time.
func (f *Fleet) Run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(*event)
		f.now = e.at
		f.handle(e)
	}
	f.now = until
}

// Crash ends a member, which sends no further messages.
func (f *Fleet) Crash(i int) { f.members[i].up = false }

// Stall stalls or resumes a member. Messages to a stalled member are lost, since the socket buffer of a stopped
// process soon overflows in a large fleet.
func (f *Fleet) Stall(i int, stalled bool) { f.members[i].stalled = stalled }

// SetLoss sets the share of messages that are lost.
func (f *Fleet) SetLoss(share float64) { f.loss = share }

// SetPartition partitions the fleet. Member i is in the set sets[i], or in none if that is 0. Members of
// different sets cannot reach each other. Nil heals the partition.
func (f *Fleet) SetPartition(sets []int) {
	clear(f.partition)
	copy(f.partition, sets)
}

// send sends a message, unless it is lost or a partition blocks it.
func (f *Fleet) send(from, to int, e *event) {
	f.Stats.Messages++
	f.Stats.Bytes += uint64(headerBytes + updateBytes*len(e.updates))
	a, b := f.partition[from], f.partition[to]
	if a != 0 && b != 0 && a != b || f.random.Float64() < f.loss {
		return
	}
	e.from, e.to = from, to
	f.schedule(f.settings.Latency, e)
}

// working reports whether a member is up and not stalled.
func (m *member) working() bool { return m.up && !m.stalled }

// handle executes an event.
func (f *Fleet) handle(e *event) {
	switch e.kind {
	case probeTick:
		f.schedule(f.settings.ProbeInterval, &event{kind: probeTick, from: e.from})
		if f.members[e.from].working() {
			f.probe(e.from)
		}
	case gossipTick:
		f.schedule(f.settings.GossipInterval, &event{kind: gossipTick, from: e.from})
		if f.members[e.from].working() {
			f.gossip(e.from)
		}
	case reconnectTick:
		f.reconnect(e.from)
	}
	m := f.members[e.to]
	switch e.kind {
	case probeTimedOut:
		f.probeIndirectly(e.from, int(e.target), e.seq)
	case probeIntervalEnded:
		if p := f.members[e.from]; p.working() && !p.acknowledged[e.seq] {
			f.suspect(e.from, int(e.target))
		}
		delete(f.members[e.from].acknowledged, e.seq)
	case suspicionExpired:
		p := f.members[e.from]
		t := int(e.target)
		if p.working() && p.state[t] == membership.Suspect && p.suspected[t] >= 0 &&
			f.now-p.suspected[t] >= f.suspicion(e.from, t) {
			f.apply(e.from, update{t, p.incarnations[t], membership.Dead})
		}
	case deliverGossip, deliverPing, deliverAck, deliverPingRequest:
		if !m.working() {
			return
		}
		for _, u := range e.updates {
			f.apply(e.to, u)
		}
		switch e.kind {
		case deliverPing:
			f.send(e.to, e.from, &event{kind: deliverAck, seq: e.seq, target: e.target})
		case deliverPingRequest:
			f.send(e.to, int(e.target), &event{kind: deliverPing, seq: e.seq, target: uint64(e.from)})
		case deliverAck:
			// The ack belongs to a probe of this member, or to a ping request of another one, to which it is forwarded.
			if requester := int(e.target); requester != e.to && requester >= 0 {
				f.send(e.to, requester, &event{kind: deliverAck, seq: e.seq, target: uint64(requester)})
			} else {
				m.acknowledged[e.seq] = true
			}
		}
	}
}

// StateOf returns the state that member i knows of member k.
func (f *Fleet) StateOf(i, k int) membership.State { return f.members[i].state[k] }

// Digest returns the digest of member i's view.
func (f *Fleet) Digest(i int) string { return f.members[i].view.Digest() }

// Up reports whether a member is up and not stalled.
func (f *Fleet) Up(i int) bool { return f.members[i].working() }

// Size returns the number of members.
func (f *Fleet) Size() int { return len(f.members) }
