// Package swim plays the fleet's gossip in virtual time, so that 300 and 1,000 brokers can be seen where as many
// processes cannot run: each member's view is the real one (package membership), and the protocol around it a
// model of memberlist's SWIM: a probe each interval in turn, indirect probes through others when its ack is late,
// suspicion that a member refutes with a newer incarnation and that shrinks with confirmations (Lifeguard), gossip
// of updates to a few random members each gossip interval, each update sent a bounded number of times, and a dead
// member asked to join again now and then (what package gossip adds). Left out: TCP fallback probes, push-pull
// every 30 s, local health (awareness), compression and message batching; what that changes is in FLEET-VIEW.md.
package swim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dykering/internal/fleet/membership"
)

// Settings are the protocol's, as in [fleet] and memberlist's LAN defaults.
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
	mostPerMsg  = 12 // updates in one gossip message, as memberlist fits them in 1,400 bytes
)

// member is one broker.
type member struct {
	up, stalled bool
	inc         uint32
	view        *membership.View
	state       []membership.State // what this member holds of each other
	incs        []uint32
	suspected   []time.Duration // when a suspicion began, or -1
	confirms    []int
	queue       []queued // updates to send, by how often they were sent
	order       []int    // probe order
	next        int
	acked       map[uint64]bool // probes answered, by sequence
	reconnect   int
}

// event kinds.
const (
	probeTick = iota
	gossipTick
	probeLate    // a probe's ack did not come in the timeout: indirect ones go out
	probeEnd     // the interval of a probe ended: suspect, if no ack came
	suspectEnd   // a suspicion ran out
	deliver      // a message arrives
	deliverPing  // a ping: answer with an ack
	deliverAck   // an ack, for a sequence
	deliverAsk   // a ping-req: ping the target for the asker
	reconnectTry // a dead member asked to join again
)

// Fleet is N members playing the protocol.
type Fleet struct {
	s        Settings
	members  []*member
	now      time.Duration
	queue    events
	rng      *rand.Rand
	seq      uint64
	ids      int
	loss     float64
	set      []int // of each member, where the fleet is cut; 0 for none
	start    time.Time
	Stats    Stats
	OnChange func(viewer int, c membership.Change) // for measures; may be nil
}

// Stats count what the fleet did.
type Stats struct {
	Messages, Bytes, Suspicions, Refutations, Deaths uint64
	// FalseSuspicions and FalseDeaths count episodes: a working member suspected, or declared dead, under one of its
	// incarnations, however many members hear of it.
	FalseSuspicions, FalseDeaths int
	episodes                     map[[3]uint32]bool // member, incarnation, state
}

// New makes a fleet of n members that all know each other alive, and starts their timers at random phases.
func New(n int, s Settings, seed uint64) *Fleet {
	f := &Fleet{
		s: s, rng: rand.New(rand.NewPCG(seed, seed+1)), set: make([]int, n),
		start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for i := range n {
		m := &member{
			up: true, inc: 1, state: make([]membership.State, n), incs: make([]uint32, n),
			suspected: make([]time.Duration, n), confirms: make([]int, n), acked: map[uint64]bool{},
		}
		m.view = membership.New(f.observation(i, 1, membership.Alive), membership.Limits{
			MaxMembers: n + 1,
			Retention:  10 * time.Minute,
		}, f.start)
		for j := range n {
			m.incs[j], m.suspected[j] = 1, -1
			if j != i {
				m.view.Observe(f.observation(j, 1, membership.Alive), f.start)
			}
		}
		m.order = f.rng.Perm(n)
		f.members = append(f.members, m)
		f.at(time.Duration(f.rng.Int64N(int64(s.ProbeInterval))), &event{kind: probeTick, from: i})
		f.at(time.Duration(f.rng.Int64N(int64(s.GossipInterval))), &event{kind: gossipTick, from: i})
	}
	return f
}

func (f *Fleet) observation(i int, inc uint32, s membership.State) membership.Observation {
	return membership.Observation{
		ID: fmt.Sprintf("b%04d", i), Incarnation: inc, State: s,
		Meta: membership.Meta{Started: f.start, Weight: 1},
	}
}

func (f *Fleet) at(d time.Duration, e *event) {
	e.at = f.now + d
	f.ids++
	e.id = f.ids
	heap.Push(&f.queue, e)
}

// Now is the virtual time since the fleet began.
func (f *Fleet) Now() time.Duration { return f.now }

// Run plays until a time.
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

// Stall stops a member, or lets it go on. A stalled member receives nothing; what comes meanwhile is lost, as a
// socket's buffer of a stopped process soon overflows with a large fleet.
func (f *Fleet) Stall(i int, stalled bool) { f.members[i].stalled = stalled }

// Loss drops a share of all messages.
func (f *Fleet) Loss(share float64) { f.loss = share }

// Cut divides the fleet into sets: member i is in set sets[i], 0 for none. Nil heals.
func (f *Fleet) Cut(sets []int) {
	clear(f.set)
	copy(f.set, sets)
}

// send puts a message on its way, or loses it.
func (f *Fleet) send(from, to int, e *event) {
	f.Stats.Messages++
	f.Stats.Bytes += uint64(headerBytes + updateBytes*len(e.msg))
	a, b := f.set[from], f.set[to]
	if a != 0 && b != 0 && a != b || f.rng.Float64() < f.loss {
		return
	}
	e.from, e.to = from, to
	f.at(f.s.Latency, e)
}

// working tells whether a member does anything now.
func (m *member) working() bool { return m.up && !m.stalled }

func (f *Fleet) handle(e *event) {
	switch e.kind {
	case probeTick:
		f.at(f.s.ProbeInterval, &event{kind: probeTick, from: e.from})
		if f.members[e.from].working() {
			f.probe(e.from)
		}
	case gossipTick:
		f.at(f.s.GossipInterval, &event{kind: gossipTick, from: e.from})
		if f.members[e.from].working() {
			f.gossip(e.from)
		}
	case reconnectTry:
		f.reconnect(e.from)
	}
	m := f.members[e.to]
	switch e.kind {
	case probeLate:
		f.indirect(e.from, int(e.target), e.seq)
	case probeEnd:
		if p := f.members[e.from]; p.working() && !p.acked[e.seq] {
			f.suspect(e.from, int(e.target))
		}
		delete(f.members[e.from].acked, e.seq)
	case suspectEnd:
		p := f.members[e.from]
		t := int(e.target)
		if p.working() && p.state[t] == membership.Suspect && p.suspected[t] >= 0 &&
			f.now-p.suspected[t] >= f.suspicion(e.from, t) {
			f.learn(e.from, update{t, p.incs[t], membership.Dead})
		}
	case deliver, deliverPing, deliverAck, deliverAsk:
		if !m.working() {
			return
		}
		for _, u := range e.msg {
			f.learn(e.to, u)
		}
		switch e.kind {
		case deliverPing:
			f.send(e.to, e.from, &event{kind: deliverAck, seq: e.seq, target: e.target})
		case deliverAsk:
			f.send(e.to, int(e.target), &event{kind: deliverPing, seq: e.seq, target: uint64(e.from)})
		case deliverAck:
			// An ack for one's own probe, or one to forward to whom asked for it.
			if asker := int(e.target); asker != e.to && asker >= 0 {
				f.send(e.to, asker, &event{kind: deliverAck, seq: e.seq, target: uint64(asker)})
			} else {
				m.acked[e.seq] = true
			}
		}
	}
}

// Holds tells what member i holds of member k.
func (f *Fleet) Holds(i, k int) membership.State { return f.members[i].state[k] }

// Digest is member i's view's digest.
func (f *Fleet) Digest(i int) string { return f.members[i].view.Digest() }

// Up tells whether a member runs.
func (f *Fleet) Up(i int) bool { return f.members[i].working() }

// Size is the number of members.
func (f *Fleet) Size() int { return len(f.members) }
