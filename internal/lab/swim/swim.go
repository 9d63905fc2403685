package swim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dykering/internal/fleet/membership"
)

// Settings are those of the protocol, as in [fleet] and in memberlist's LAN defaults.
type Settings struct {
	ProbeInterval, ProbeTimeout, GossipInterval time.Duration
	SuspicionMult, SuspicionMaxMult             int
	IndirectChecks, GossipNodes, RetransmitMult int
	Latency                                     time.Duration // one way, on every link
}

// LAN is memberlist's DefaultLANConfig.
func LAN() Settings {
	return Settings{
		ProbeInterval: time.Second, ProbeTimeout: 500 * time.Millisecond,
		GossipInterval: 200 * time.Millisecond, SuspicionMult: 4, SuspicionMaxMult: 6, IndirectChecks: 3,
		GossipNodes: 3, RetransmitMult: 4, Latency: 200 * time.Microsecond,
	}
}

// Message sizes, in bytes, for the load a member carries: a header, and an update.
const (
	headerBytes = 40
	updateBytes = 48
	// Updates in one gossip message, as memberlist fits them into 1,400 bytes.
	maxUpdatesPerMessage = 12
)

// member is one broker.
type member struct {
	up, stalled bool
	incarnation uint32
	view        *membership.View
	// The state it holds of each other member, with its incarnation.
	state        []membership.State
	incarnations []uint32
	// When a suspicion began; -1 for none.
	suspected     []time.Duration
	confirmations []int
	queue         []queuedUpdate // updates to send, by how often they were sent
	order         []int          // probe order
	next          int
	// Probes by sequence number, and whether they were acknowledged.
	acknowledged map[uint64]bool
	reconnect    int
}

// event kinds.
const (
	probeTick = iota
	gossipTick
	probeTimedOut      // a probe's ack did not come in the timeout: indirect ones go out
	probeIntervalEnded // the interval of a probe ended: suspect, if no ack came
	suspicionExpired   // a suspicion ran out
	deliverGossip      // a message arrives
	deliverPing        // a ping: answer with an ack
	deliverAck         // an ack, for a sequence
	deliverPingRequest // a ping-req: ping the target for the asker
	reconnectTick      // a dead member asked to join again
)

// Fleet is a simulated fleet of N members.
type Fleet struct {
	settings     Settings
	members      []*member
	now          time.Duration
	queue        events
	random       *rand.Rand
	lastSequence uint64
	lastEventID  int
	loss         float64
	// The set of each member during a partition; 0 for none.
	partition []int
	start     time.Time
	Stats     Stats
	// Called at each change of a view; may be nil.
	OnChange func(viewer int, c membership.Change)
}

// Stats are counters of the fleet.
type Stats struct {
	Messages, Bytes, Suspicions, Refutations, Deaths uint64
	// FalseSuspicions and FalseDeaths count episodes: a working member suspected, or declared dead, under one
	// of its incarnations, however many members hear of it.
	FalseSuspicions, FalseDeaths int
	episodes                     map[[3]uint32]bool // member, incarnation, state
}

// New creates a fleet of n members that all hold each other alive, and starts their timers at
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

func (f *Fleet) observation(i int, inc uint32, s membership.State) membership.Observation {
	return membership.Observation{
		ID: fmt.Sprintf("b%04d", i), Incarnation: inc, State: s,
		Meta: membership.Meta{Started: f.start, Weight: 1},
	}
}

func (f *Fleet) schedule(d time.Duration, e *event) {
	e.at = f.now + d
	f.lastEventID++
	e.id = f.lastEventID
	heap.Push(&f.queue, e)
}

// Now is the virtual time since the start of the fleet.
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

// Crash ends a member: it sends and answers nothing any more.
func (f *Fleet) Crash(i int) { f.members[i].up = false }

// Stall stalls a member or resumes it. Messages to a stalled member are lost, since the socket
// buffer of a stopped process soon overflows in a large fleet.
func (f *Fleet) Stall(i int, stalled bool) { f.members[i].stalled = stalled }

// Loss drops a share of all messages.
func (f *Fleet) Loss(share float64) { f.loss = share }

// SetPartition divides the fleet: member i is in set sets[i], 0 for none. Nil heals the partition.
func (f *Fleet) SetPartition(sets []int) {
	clear(f.partition)
	copy(f.partition, sets)
}

// send sends a message, which may be lost.
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
			// An ack for one's own probe, or one to forward to whom asked for it.
			if asker := int(e.target); asker != e.to && asker >= 0 {
				f.send(e.to, asker, &event{kind: deliverAck, seq: e.seq, target: uint64(asker)})
			} else {
				m.acknowledged[e.seq] = true
			}
		}
	}
}

// Holds returns the state that member i holds of member k.
func (f *Fleet) Holds(i, k int) membership.State { return f.members[i].state[k] }

// Digest is the digest of member i's view.
func (f *Fleet) Digest(i int) string { return f.members[i].view.Digest() }

// Up reports whether a member is working.
func (f *Fleet) Up(i int) bool { return f.members[i].working() }

// Size is the number of members.
func (f *Fleet) Size() int { return len(f.members) }
