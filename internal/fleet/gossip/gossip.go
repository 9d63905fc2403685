// Package gossip keeps a broker's view of the fleet (package membership) by hashicorp/memberlist: SWIM with
// Lifeguard's suspicion and local health. One goroutine owns the view; memberlist's own goroutines reach it only
// through bounded queues: of its events, which tell of joins, leaves and updates, and of the rumours in its packets,
// which tell of suspicion and of who said that it goes. It looks at memberlist's list once a probe interval besides.
package gossip

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"dykering/internal/fleet/membership"
)

const (
	// queued bounds memberlist's events that wait for the owner. What does not fit is found at the next look.
	queued = 1024
	// changesQueued bounds the changes that wait for the one who follows them (Changes).
	changesQueued = 1024
	// skew is how far in the future a member's start may lie before it is refused: clocks of one site differ less.
	skew = time.Minute
	// leaveTimeout bounds the wait for others to hear that this member leaves.
	leaveTimeout = 2 * time.Second
	// reconnectEvery is in probe intervals: how often one dead member is asked to join again, as Serf does. SWIM
	// never probes the dead, so without it the two sides of a healed cut would stay two fleets.
	reconnectEvery = 5
	// announceTicks is in probe intervals: for how long a new member exchanges states now and then. One that starts again
	// at another address before its old process was found dead is refused until then, and would not be heard of before
	// memberlist's next push-pull.
	announceTicks = 60
	// suspicionMost is by how much memberlist's longest suspicion outlasts its shortest, and a margin.
	suspicionMost = 7
)

// Counters are what the gossip has done since it began. All are bounded by their type alone.
type Counters struct {
	Traffic
	Acks, Suspicions, Refutations, Deaths, Joins, Leaves, Conflicts, Future, Lost atomic.Uint64
}

// Snapshot is the view as it was after its last change.
type Snapshot struct {
	Self    string              `json:"self"`
	Number  uint64              `json:"number"`
	Digest  string              `json:"digest"`
	Health  int                 `json:"health"` // memberlist's awareness: 0 is well, more is a member that is slow itself
	Members []membership.Member `json:"members"`
}

// Gossip is a running member of the fleet.
type Gossip struct {
	list    *memberlist.Memberlist
	roster  *roster
	log     *zap.Logger
	self    membership.Observation
	section Section
	events  chan memberlist.NodeEvent
	rumours chan rumour
	leaving sync.Map // ids of members heard to leave, until memberlist tells that they are gone
	// The owner's alone: who is suspected, and memberlist's own incarnations, as its rumours tell them.
	suspects     map[string]suspicion
	incarnations map[string]uint32
	missing      map[string]bool // members that memberlist\'s list lacked at the last look
	changes      chan membership.Change
	snapshot     atomic.Pointer[Snapshot]
	replica      atomic.Pointer[Replica]
	takers       [256]atomic.Pointer[func([]byte)] // by kind
	told         memberlist.TransmitLimitedQueue   // messages of the replica
	counters     Counters
	done         chan struct{}
	ended        chan struct{}
	once         sync.Once
	joining      sync.Once
	join         chan struct{} // closed by Join
	followed     atomic.Bool   // whether anybody takes the changes
}

// suspicion of a member, in one of memberlist's incarnations, which a refutation raises.
type suspicion struct {
	incarnation uint32
	until       time.Time // by then memberlist has declared it dead, or has heard it refute
}

// Start makes a member of the fleet as the section says, with meta for it. It owns memberlist's goroutines and one of
// its own until Close. It can be joined; it joins others from Join on.
func Start(s Section, meta membership.Meta, logger *zap.Logger) (*Gossip, error) {
	g := &Gossip{log: logger, section: s, roster: newRoster(), events: make(chan memberlist.NodeEvent, queued),
		join: make(chan struct{}), rumours: make(chan rumour, queued), suspects: map[string]suspicion{}, incarnations: map[string]uint32{},
		changes: make(chan membership.Change, changesQueued), done: make(chan struct{}), ended: make(chan struct{})}
	meta.Weight = uint16(s.Weight)
	g.self = membership.Observation{ID: s.ID, State: membership.Alive, Meta: meta,
		Incarnation: incarnation(meta)}
	c := memberlist.DefaultLANConfig()
	g.told.RetransmitMult = c.RetransmitMult
	g.told.NumNodes = func() int { return len(g.snapshot.Load().Members) }
	c.Name = s.ID
	host, port, _ := net.SplitHostPort(s.Bind) // checked with the section
	c.BindAddr, c.AdvertiseAddr = host, host
	c.BindPort, _ = strconv.Atoi(port)
	c.AdvertisePort = c.BindPort
	c.ProbeInterval, c.ProbeTimeout = time.Duration(s.ProbeInterval), time.Duration(s.ProbeTimeout)
	c.SuspicionMult, c.IndirectChecks = s.SuspicionMult, s.IndirectChecks
	c.GossipToTheDeadTime = time.Duration(s.DeadKept)
	// A process that starts again under its id, at another address, takes its place once the old one is dead.
	c.DeadNodeReclaimTime = c.ProbeInterval
	c.TCPTimeout = min(c.TCPTimeout, 4*c.ProbeInterval) // a join of one that is still away ends soon
	c.LogOutput = &lines{g: g}
	c.Events, c.Conflict, c.Ping, c.Delegate, c.Alive = (*events)(g), (*events)(g), (*events)(g), (*events)(g), (*events)(g)
	c.EnableCompression = false // rumours are read from the packets, which are small
	var err error
	if s.Relay != "" {
		var t *relayed
		if t, err = newRelayed(s.Bind, s.Relay, &g.counters.Traffic); t != nil {
			c.Transport = count(t, &g.counters.Traffic, g.hear)
		}
	} else {
		var t *memberlist.NetTransport
		t, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host},
			BindPort: c.BindPort, Logger: log.New(c.LogOutput, "", 0)})
		if t != nil {
			// memberlist learns the port that port 0 became only from a transport of its own type, not a wrapper.
			c.BindPort = t.GetAutoBindPort()
			c.AdvertisePort = c.BindPort
			c.Transport = count(t, &g.counters.Traffic, g.hear)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	if g.list, err = memberlist.Create(c); err != nil {
		c.Transport.Shutdown()
		return nil, fmt.Errorf("gossip: %w", err)
	}
	g.self.Addr = g.list.LocalNode().Address()
	view := membership.New(g.self, membership.Limits{MaxMembers: s.Most, Retention: time.Duration(s.DeadKept)}, time.Now())
	g.publish(view)
	go g.own(view)
	g.log.Info("fleet.started", zap.String("id", s.ID), zap.String("addr", g.self.Addr))
	return g, nil
}

// Join has it join the fleet through the seeds, at once and for as long as it knows nobody, and does not wait for that.
// What is to take part in the first exchange is attached before.
func (g *Gossip) Join() { g.joining.Do(func() { close(g.join) }) }

// incarnation of a process is the second it started in: a process that starts again under its id is newer.
// memberlist's own incarnation, which a refutation raises, is not told by its interface.
func incarnation(m membership.Meta) uint32 { return uint32(m.Started.Unix()) }

// Changes are the view's changes from the first call on, for the one goroutine that follows them; what it does not
// take in time is lost to it, and counted.
func (g *Gossip) Changes() <-chan membership.Change {
	g.followed.Store(true)
	return g.changes
}

// View is the view after its last change.
func (g *Gossip) View() *Snapshot { return g.snapshot.Load() }

// Counters are what it has done.
func (g *Gossip) Counters() *Counters { return &g.counters }

// Close leaves the fleet, telling the others for a while, and ends all of its goroutines.
func (g *Gossip) Close() error {
	var err error
	g.once.Do(func() {
		err = g.list.Leave(leaveTimeout)
		close(g.done)
		<-g.ended
		err = errors.Join(err, g.list.Shutdown())
	})
	return err
}

// own is the one goroutine that changes the view.
func (g *Gossip) own(view *membership.View) {
	defer close(g.ended)
	tick := time.NewTicker(time.Duration(g.section.ProbeInterval))
	defer tick.Stop()
	joined := make(chan struct{}, 1) // a join that has ended; one is out at a time
	joining, ticks, next := false, 0, 0
	// Bounded by memberlist's TCP timeout for each address. What it finds comes as events.
	join := func(addrs []string) {
		joining = len(addrs) > 0
		if !joining {
			return
		}
		go func() {
			if _, err := g.list.Join(addrs); err != nil {
				g.log.Warn("fleet.join", zap.Strings("through", addrs), zap.Error(err))
			}
			joined <- struct{}{}
		}()
	}
	first := g.join
	for {
		select {
		case e := <-g.events:
			g.observe(view, e.Node, e.Event == memberlist.NodeLeave)
		case r := <-g.rumours:
			g.rumour(view, r)
		case <-tick.C:
			g.look(view)
			if ticks++; ticks%reconnectEvery == 0 && !joining && first == nil {
				var addrs []string
				addrs, next = g.lost(view, next)
				if len(addrs) == 0 && ticks <= announceTicks {
					addrs = g.someone(view)
				}
				join(addrs)
			}
		case <-first:
			first = nil
			join(g.section.Seeds)
		case <-joined:
			joining = false
		case <-g.done:
			if joining {
				<-joined
			}
			return
		}
		g.publish(view)
	}
}

// lost is whom to ask to join again: the next dead member in turn, from where the last turn ended, or the seeds
// where the view holds nobody else alive.
func (g *Gossip) lost(view *membership.View, from int) (addrs []string, next int) {
	var dead []string
	for _, m := range view.Members() {
		if m.State == membership.Dead {
			dead = append(dead, m.Addr)
		}
	}
	if n, _ := view.Live(); n <= 1 && len(g.section.Seeds) > 0 {
		return g.section.Seeds, from
	}
	if len(dead) == 0 {
		return nil, from
	}
	return []string{dead[from%len(dead)]}, from + 1
}

// someone is another member that lives, drawn, to exchange states with.
func (g *Gossip) someone(view *membership.View) []string {
	var live []string
	for _, m := range view.Members() {
		if m.ID != g.self.ID && m.State == membership.Alive {
			live = append(live, m.Addr)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return []string{live[rand.IntN(len(live))]}
}

// look compares memberlist's states with the view: suspicion is seen here, and what the queue did not hold.
func (g *Gossip) look(view *membership.View) {
	now := time.Now()
	maps.DeleteFunc(g.suspects, func(_ string, s suspicion) bool { return now.After(s.until) })
	listed := map[string]bool{}
	for _, n := range g.roster.all() {
		listed[n.Name] = true
		g.observe(view, &n, false)
	}
	// Events tell who is gone, and why. Only one that the list has lacked for two looks is taken for dead without: the
	// queue was full then, as its event comes within a moment.
	missing := map[string]bool{}
	for _, m := range view.Members() {
		if listed[m.ID] || m.ID == g.self.ID || m.State != membership.Alive && m.State != membership.Suspect {
			continue
		}
		if missing[m.ID] = true; g.missing[m.ID] {
			g.apply(view, membership.Observation{ID: m.ID, Addr: m.Addr, Incarnation: m.Incarnation,
				State: membership.Dead, Meta: m.Meta}, now)
		}
	}
	g.missing = missing
	for _, c := range view.Expire(now) {
		g.tell(c, view)
		delete(g.incarnations, c.Member.ID)
	}
	g.leaving.Range(func(id, _ any) bool { // of members that this view does not hold
		if _, known := view.Member(id.(string)); !known {
			g.leaving.Delete(id)
		}
		return true
	})
}

// observe takes what memberlist says of a node.
func (g *Gossip) observe(view *membership.View, n *memberlist.Node, leave bool) {
	var meta membership.Meta
	if err := json.Unmarshal(n.Meta, &meta); err != nil && n.Name != g.self.ID {
		g.counters.Bad.Add(1)
		g.log.Warn("fleet.refused", zap.String("id", n.Name), zap.String("why", "meta that is not ours"))
		return
	}
	now := time.Now()
	if meta.Started.After(now.Add(skew)) {
		g.counters.Future.Add(1)
		g.log.Warn("fleet.refused", zap.String("id", n.Name), zap.Time("started", meta.Started),
			zap.String("why", "an incarnation from the future"))
		return
	}
	if n.Name == g.self.ID {
		return // memberlist refutes what is said of this member; the view keeps it alive
	}
	state := membership.Alive
	_, said := g.leaving.Load(n.Name)
	switch _, suspected := g.suspects[n.Name]; {
	case leave && said:
		state = membership.Left
	case leave:
		state = membership.Dead
	case suspected:
		state = membership.Suspect
	}
	if leave {
		g.leaving.Delete(n.Name)
		delete(g.suspects, n.Name)
	}
	g.apply(view, membership.Observation{ID: n.Name, Addr: n.Address(), Incarnation: incarnation(meta),
		State: state, Meta: meta}, now)
}

// hear listens to a packet on its way, on memberlist's goroutines: of those that come, who leaves; of those that go
// out, what memberlist has taken itself. What the queue does not hold the next look mends, but for a suspicion.
func (g *Gossip) hear(packet []byte, out bool) {
	said(packet, func(r rumour) {
		switch {
		case r.Node == g.self.ID:
		case out:
			select {
			case g.rumours <- r:
			default:
				g.counters.Lost.Add(1)
			}
		case r.kind == kindDead && r.From == r.Node:
			g.leaving.Store(r.Node, true)
		case r.kind == kindAlive:
			g.leaving.Delete(r.Node)
		}
	})
}

// rumour takes what memberlist passes on of a member that the view holds. A rumour goes out several times.
func (g *Gossip) rumour(view *membership.View, r rumour) {
	m, known := view.Member(r.Node)
	s, suspected := g.suspects[r.Node]
	var state membership.State
	now := time.Now()
	switch {
	case !known:
		return
	case r.kind == kindSuspect && m.State == membership.Alive && r.Incarnation >= g.incarnations[r.Node]:
		n, _ := view.Live()
		lasts := float64(g.section.SuspicionMult) * max(1, math.Log10(float64(n))) * float64(g.section.ProbeInterval)
		g.suspects[r.Node] = suspicion{r.Incarnation, now.Add(time.Duration(lasts * suspicionMost))}
		state = membership.Suspect
	case r.kind == kindAlive:
		g.incarnations[r.Node] = max(g.incarnations[r.Node], r.Incarnation)
		if !suspected || r.Incarnation <= s.incarnation {
			return
		}
		delete(g.suspects, r.Node)
		state = membership.Alive
	case r.kind == kindDead && r.From == r.Node && m.State == membership.Dead:
		state = membership.Left // memberlist had it from a push-pull
	default:
		return
	}
	g.apply(view, membership.Observation{ID: m.ID, Addr: m.Addr, Incarnation: m.Incarnation, State: state,
		Meta: m.Meta}, now)
}

// apply changes the view, and tells of it.
func (g *Gossip) apply(view *membership.View, o membership.Observation, now time.Time) {
	if c, news := view.Observe(o, now); news {
		g.tell(c, view)
	}
}

// tell logs a change, counts it and hands it on.
func (g *Gossip) tell(c membership.Change, view *membership.View) {
	switch c.Reason {
	case membership.ProbesFailed:
		g.counters.Suspicions.Add(1)
	case membership.Refuted:
		g.counters.Refutations.Add(1)
	case membership.SuspicionExpired:
		g.counters.Deaths.Add(1)
	case membership.Joined, membership.Returned, membership.Restarted:
		g.counters.Joins.Add(1)
	case membership.LeaveAnnounced:
		g.counters.Leaves.Add(1)
	}
	g.log.Info("fleet.member", zap.String("id", c.Member.ID), zap.Stringer("from", c.From),
		zap.Stringer("to", c.Member.State), zap.String("why", string(c.Reason)),
		zap.Uint32("incarnation", c.Member.Incarnation), zap.String("zone", c.Member.Meta.Zone),
		zap.Uint64("view", c.Number), zap.String("digest", view.Digest()))
	if !g.followed.Load() {
		return
	}
	select {
	case g.changes <- c:
	default:
		g.counters.Lost.Add(1)
	}
}

// publish makes the view's state what View gives.
func (g *Gossip) publish(view *membership.View) {
	if s := g.snapshot.Load(); s != nil && s.Number == view.Number() {
		return
	}
	g.snapshot.Store(&Snapshot{Self: g.self.ID, Number: view.Number(), Digest: view.Digest(),
		Health: g.list.GetHealthScore(), Members: view.Members()})
}

// events are memberlist's delegates. Each of their methods is called by memberlist's goroutines, and none blocks.
type events Gossip

func (e *events) queue(kind memberlist.NodeEventType, n *memberlist.Node) {
	node := *n
	if kind == memberlist.NodeLeave {
		e.roster.remove(node.Name)
	} else {
		e.roster.set(node)
	}
	select {
	case e.events <- memberlist.NodeEvent{Event: kind, Node: &node}:
	default: // the next look finds it
	}
}

func (e *events) NotifyJoin(n *memberlist.Node)   { e.queue(memberlist.NodeJoin, n) }
func (e *events) NotifyLeave(n *memberlist.Node)  { e.queue(memberlist.NodeLeave, n) }
func (e *events) NotifyUpdate(n *memberlist.Node) { e.queue(memberlist.NodeUpdate, n) }

func (e *events) NotifyConflict(existing, other *memberlist.Node) {
	e.counters.Conflicts.Add(1)
	e.log.Warn("fleet.conflict", zap.String("id", existing.Name), zap.String("addr", existing.Address()),
		zap.String("other", other.Address()), zap.String("why", "a second process with the same id"))
}

func (e *events) AckPayload() []byte { return nil }

func (e *events) NotifyPingComplete(*memberlist.Node, time.Duration, []byte) { e.counters.Acks.Add(1) }

// NotifyAlive refuses members whose meta is not ours, before memberlist takes them.
func (e *events) NotifyAlive(n *memberlist.Node) error {
	var meta membership.Meta
	if n.Name != e.self.ID && json.Unmarshal(n.Meta, &meta) != nil {
		e.counters.Bad.Add(1)
		return fmt.Errorf("%s: meta that is not ours", n.Name)
	}
	return nil
}

// NodeMeta is this member's meta. It is well under memberlist's limit of 512 bytes.
func (e *events) NodeMeta(limit int) []byte {
	b, _ := json.Marshal(e.self.Meta)
	return b[:min(len(b), limit)]
}

// NotifyMsg takes what another member told, for whoever takes messages of its kind.
func (e *events) NotifyMsg(b []byte) {
	if len(b) < 2 {
		return
	}
	if take := e.takers[b[0]].Load(); take != nil {
		(*take)(bytes.Clone(b[1:])) // memberlist uses the bytes again
	}
}

func (e *events) GetBroadcasts(overhead, limit int) [][]byte {
	return e.told.GetBroadcasts(overhead, limit)
}

func (e *events) LocalState(bool) []byte {
	if r := e.replica.Load(); r != nil {
		return (*r).Summary()
	}
	return nil
}

func (e *events) MergeRemoteState(b []byte, _ bool) {
	if r := e.replica.Load(); r != nil && len(b) > 0 {
		(*r).Compare(bytes.Clone(b))
	}
}

// Replica is state that the members replicate. Its methods are called by memberlist's goroutines and do not block.
type Replica interface {
	Heard(msg []byte)       // what a member told
	Summary() []byte        // of what this member holds; sent with each push-pull, at a join too
	Compare(summary []byte) // takes another's
}

// Kind tells whose a message among members is.
type Kind byte

// The kinds. They are sent, and never change.
const (
	KindFacts   Kind = 'r' // replicated state
	KindBudgets Kind = 'b' // fleet-wide budgets
)

// Channel carries one kind of messages.
type Channel struct {
	g    *Gossip
	kind Kind
}

// Channel is that of a kind.
func (g *Gossip) Channel(k Kind) Channel { return Channel{g, k} }

// Handle has messages of the kind taken from now on, on memberlist's goroutines: take must not block.
func (c Channel) Handle(take func(msg []byte)) { c.g.takers[c.kind].Store(&take) }

// Attach has a replica take part from now on. There is one.
func (c Channel) Attach(r Replica) {
	c.g.replica.Store(&r)
	c.Handle(r.Heard)
}

// Tell gossips a message to all members. A later one under the same name takes its place if it is still to be sent.
func (c Channel) Tell(name string, msg []byte) {
	c.g.told.QueueBroadcast(&told{name, append([]byte{byte(c.kind)}, msg...)})
}

// Send sends one member a message over a stream, within memberlist's timeout for it. It blocks for as long.
func (c Channel) Send(id string, msg []byte) error {
	node, ok := c.g.roster.find(id)
	if !ok {
		return fmt.Errorf("gossip: %s is no member", id)
	}
	c.g.counters.BytesOut.Add(uint64(len(msg)) + 1)
	if err := c.g.list.SendReliable(&node, append([]byte{byte(c.kind)}, msg...)); err != nil {
		return fmt.Errorf("gossip: to %s: %w", id, err)
	}
	return nil
}

// Peer is another member that is there, drawn.
func (c Channel) Peer() (id string, ok bool) {
	all := slices.DeleteFunc(c.g.roster.all(), func(n memberlist.Node) bool { return n.Name == c.g.self.ID })
	if len(all) == 0 {
		return "", false
	}
	return all[rand.IntN(len(all))].Name, true
}

// told is a message in memberlist's queue of what is gossiped.
type told struct {
	name string
	msg  []byte
}

func (t *told) Invalidates(b memberlist.Broadcast) bool {
	o, ok := b.(*told)
	return ok && o.name == t.name
}
func (t *told) Name() string    { return t.name }
func (t *told) Message() []byte { return t.msg }
func (t *told) Finished()       {}

// lines are memberlist's log, put into ours: a warning or error of it is one of ours, the rest debug.
type lines struct {
	g    *Gossip
	mu   sync.Mutex
	part []byte
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.part = append(l.part, p...)
	for {
		i := bytes.IndexByte(l.part, '\n')
		if i < 0 {
			if len(l.part) > 4096 { // a line without its end is not kept for ever
				l.part = l.part[:0]
			}
			return len(p), nil
		}
		text := strings.TrimSpace(string(l.part[:i]))
		l.part = l.part[i+1:]
		switch {
		case strings.Contains(text, "[ERR]"), strings.Contains(text, "[WARN]"):
			l.g.log.Warn("fleet.memberlist", zap.String("said", text))
		default:
			l.g.log.Debug("fleet.memberlist", zap.String("said", text))
		}
	}
}

var _ io.Writer = (*lines)(nil)
