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
	"math"
	"math/rand/v2"
	"slices"
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

// update is what gossip carries: a member's state under an incarnation.
type update struct {
	of    int
	inc   uint32
	state membership.State
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

type queued struct {
	update
	sent int
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

type event struct {
	at          time.Duration
	kind        int
	from, to    int
	target, seq uint64
	msg         []update
	id          int // order among events at the same time
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].id < e[j].id
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

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
			Most: n + 1,
			Kept: 10 * time.Minute,
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

// probe pings the next member in turn that this one holds alive or suspect.
func (f *Fleet) probe(i int) {
	m := f.members[i]
	for range len(m.order) {
		t := m.order[m.next]
		if m.next++; m.next == len(m.order) {
			m.next = 0
			f.rng.Shuffle(len(m.order), func(a, b int) { m.order[a], m.order[b] = m.order[b], m.order[a] })
		}
		if t == i || m.state[t] == membership.Dead || m.state[t] == membership.Left {
			continue
		}
		f.seq++
		m.acked[f.seq] = false
		f.send(i, t, &event{kind: deliverPing, seq: f.seq, target: uint64(i), msg: f.take(i)})
		f.at(f.s.ProbeTimeout, &event{kind: probeLate, from: i, target: uint64(t), seq: f.seq})
		f.at(f.s.ProbeInterval, &event{kind: probeEnd, from: i, target: uint64(t), seq: f.seq})
		break
	}
	if m.reconnect++; m.reconnect%5 == 0 {
		f.at(0, &event{kind: reconnectTry, from: i})
	}
}

// indirect asks some others to probe a member whose ack is late.
func (f *Fleet) indirect(i, t int, seq uint64) {
	m := f.members[i]
	if !m.working() || m.acked[seq] {
		return
	}
	for _, k := range f.pick(i, f.s.IndirectChecks, t) {
		f.send(i, k, &event{kind: deliverAsk, seq: seq, target: uint64(t)})
	}
	// memberlist's fallback: a ping over TCP at the same time, which a lost link refuses as it does packets.
	f.send(i, t, &event{kind: deliverPing, seq: seq, target: uint64(i)})
}

// pick draws up to n members that i holds alive, other than i and but.
func (f *Fleet) pick(i, n, but int) []int {
	m := f.members[i]
	var got []int
	for tries := 0; len(got) < n && tries < 4*n+8; tries++ {
		k := f.rng.IntN(len(f.members))
		if k != i && k != but && m.state[k] == membership.Alive && !slices.Contains(got, k) {
			got = append(got, k)
		}
	}
	return got
}

// gossip sends the updates that are due to a few random members.
func (f *Fleet) gossip(i int) {
	for _, k := range f.pick(i, f.s.GossipNodes, -1) {
		if msg := f.take(i); len(msg) > 0 {
			f.send(i, k, &event{kind: deliver, msg: msg})
		}
	}
}

// take is the updates that a message carries, those sent least often first; an update is sent at most
// RetransmitMult * log10(N+1) times.
func (f *Fleet) take(i int) []update {
	m := f.members[i]
	if len(m.queue) == 0 {
		return nil
	}
	limit := f.s.RetransmitMult * int(math.Ceil(math.Log10(float64(len(f.members)+1))))
	slices.SortStableFunc(m.queue, func(a, b queued) int { return a.sent - b.sent })
	var msg []update
	for k := 0; k < len(m.queue) && len(msg) < mostPerMsg; k++ {
		msg = append(msg, m.queue[k].update)
		m.queue[k].sent++
	}
	m.queue = slices.DeleteFunc(m.queue, func(q queued) bool { return q.sent >= limit })
	return msg
}

// broadcast queues an update to be gossiped, in place of an older one of the same member.
func (f *Fleet) broadcast(i int, u update) {
	m := f.members[i]
	m.queue = slices.DeleteFunc(m.queue, func(q queued) bool { return q.of == u.of })
	m.queue = append(m.queue, queued{update: u})
}

// suspect starts a suspicion of t by i.
func (f *Fleet) suspect(i, t int) {
	m := f.members[i]
	if m.state[t] != membership.Alive {
		return
	}
	f.learn(i, update{t, m.incs[t], membership.Suspect})
}

// suspicion is how long i's suspicion of t lasts now: memberlist's formula, from the longest down to the shortest
// as independent confirmations come.
func (f *Fleet) suspicion(i, t int) time.Duration {
	n := float64(len(f.members))
	least := time.Duration(float64(f.s.SuspicionMult) * math.Max(1, math.Log10(n)) * float64(f.s.ProbeInterval))
	most := time.Duration(f.s.SuspicionMaxMult) * least
	k := float64(f.s.SuspicionMult - 2)
	c := float64(f.members[i].confirms[t])
	if k < 1 {
		return least
	}
	frac := math.Log(c+1) / math.Log(k+1)
	return max(least, most-time.Duration(frac*float64(most-least)))
}

// learn takes an update at member i, by SWIM's rules, refuting what is said of i itself.
func (f *Fleet) learn(i int, u update) {
	m := f.members[i]
	if u.of == i {
		if u.state != membership.Alive && u.inc >= m.inc {
			m.inc = u.inc + 1
			m.incs[i] = m.inc
			f.Stats.Refutations++
			f.broadcast(i, update{i, m.inc, membership.Alive})
			m.view.Observe(f.observation(i, m.inc, membership.Alive), f.start.Add(f.now))
		}
		return
	}
	held, inc := m.state[u.of], m.incs[u.of]
	switch u.state {
	case membership.Alive:
		if u.inc <= inc {
			return
		}
	case membership.Suspect:
		if u.inc < inc || held == membership.Dead || held == membership.Left {
			return
		}
		if held == membership.Suspect && u.inc == inc {
			m.confirms[u.of]++ // a confirmation shortens the suspicion: look again when the shorter one ends
			f.at(max(0, m.suspected[u.of]+f.suspicion(i, u.of)-f.now)+1,
				&event{kind: suspectEnd, from: i, target: uint64(u.of)})
			return
		}
		m.suspected[u.of], m.confirms[u.of] = f.now, 0
		f.at(f.suspicion(i, u.of)+1, &event{kind: suspectEnd, from: i, target: uint64(u.of)})
		f.Stats.Suspicions++
		f.episode(u, &f.Stats.FalseSuspicions)
	case membership.Dead, membership.Left:
		if u.inc < inc || held == membership.Dead || held == membership.Left {
			return
		}
		f.Stats.Deaths++
		f.episode(u, &f.Stats.FalseDeaths)
	}
	if u.state != membership.Suspect {
		m.suspected[u.of] = -1
	}
	m.state[u.of], m.incs[u.of] = u.state, u.inc
	f.broadcast(i, u)
	at := f.start.Add(f.now)
	if c, news := m.view.Observe(f.observation(u.of, u.inc, u.state), at); news && f.OnChange != nil {
		f.OnChange(i, c)
	}
}

// episode counts an update of a working member, once for each incarnation.
func (f *Fleet) episode(u update, count *int) {
	key := [3]uint32{uint32(u.of), u.inc, uint32(u.state)}
	if f.members[u.of].up && !f.Stats.episodes[key] {
		if f.Stats.episodes == nil {
			f.Stats.episodes = map[[3]uint32]bool{}
		}
		f.Stats.episodes[key] = true
		*count++
	}
}

// reconnect has member i ask one member that it holds dead to join again: a full exchange of states both ways, if
// both can reach each other.
func (f *Fleet) reconnect(i int) {
	m := f.members[i]
	if !m.working() {
		return
	}
	var dead []int
	for k, s := range m.state {
		if s == membership.Dead && k != i {
			dead = append(dead, k)
		}
	}
	if len(dead) == 0 {
		return
	}
	k := dead[f.rng.IntN(len(dead))]
	a, b := f.set[i], f.set[k]
	if a != 0 && b != 0 && a != b || !f.members[k].working() || f.rng.Float64() < f.loss {
		f.Stats.Messages++
		return
	}
	f.Stats.Messages += 2
	f.Stats.Bytes += uint64(2 * (headerBytes + updateBytes*len(f.members)))
	mine, theirs := f.states(i), f.states(k)
	for _, u := range theirs {
		f.learn(i, u)
	}
	for _, u := range mine {
		f.learn(k, u)
	}
}

// states is all that a member holds, itself among them.
func (f *Fleet) states(i int) []update {
	m := f.members[i]
	all := make([]update, len(m.state))
	for k := range m.state {
		all[k] = update{k, m.incs[k], m.state[k]}
	}
	all[i] = update{i, m.inc, membership.Alive}
	return all
}

// Holds tells what member i holds of member k.
func (f *Fleet) Holds(i, k int) membership.State { return f.members[i].state[k] }

// Digest is member i's view's digest.
func (f *Fleet) Digest(i int) string { return f.members[i].view.Digest() }

// Up tells whether a member runs.
func (f *Fleet) Up(i int) bool { return f.members[i].working() }

// Size is the number of members.
func (f *Fleet) Size() int { return len(f.members) }
