package gossip

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"dykering/internal/fleet/membership"
)

const (
	// reconnectIntervals is the interval, in probe intervals, at which one dead member is asked to join again, as in Serf.
	// SWIM never probes dead members, so without these attempts the two sides of a healed partition would not merge.
	reconnectIntervals = 5
	// announceIntervals is the time, in probe intervals, for which a new member exchanges states with random members.
	// Members reject a process that restarted at another address until they have declared its predecessor dead. Without
	// these exchanges they would accept it only with memberlist's next push-pull.
	announceIntervals = 60
	// maxClockSkew is the maximum time by which a member's start may lie in the future. Clocks in one site differ by less.
	maxClockSkew = time.Minute
)

// viewOwner holds the state of the goroutine that changes the view.
type viewOwner struct {
	*Gossip
	view           *membership.View
	suspects       map[string]suspicion
	incarnations   map[string]uint32 // memberlist's incarnations by member ID, from its messages
	missingMembers map[string]bool   // members of the view that were not in memberlist's list at the last reconciliation

	joining        bool          // a join is running; at most one runs at a time
	joined         chan struct{} // receives when a join has ended
	nextDeadMember int           // counts the reconnection attempts, to select the next dead member in turn
}

func newViewOwner(g *Gossip, view *membership.View) *viewOwner {
	return &viewOwner{
		Gossip: g, view: view, suspects: map[string]suspicion{}, incarnations: map[string]uint32{},
		joined: make(chan struct{}, 1),
	}
}

// run applies events to the view until Close.
func (o *viewOwner) run() {
	defer close(o.ended)
	ticker := time.NewTicker(time.Duration(o.section.ProbeInterval))
	defer ticker.Stop()
	firstJoin, intervals := o.join, 0
	for {
		select {
		case event := <-o.events:
			o.applyNode(event.Node, event.Event == memberlist.NodeLeave)
		case message := <-o.messages:
			o.applyMessage(message)
		case <-ticker.C:
			o.reconcile()
			intervals++
			if firstJoin == nil {
				o.reconnect(intervals)
			}
		case <-firstJoin:
			firstJoin = nil
			o.startJoin(o.section.Seeds)
		case <-o.joined:
			o.joining = false
		case <-o.done:
			if o.joining {
				<-o.joined
			}
			return
		}
		o.publish()
	}
}

// startJoin joins through addresses in a goroutine. memberlist's TCP timeout bounds the attempt at each address. Members
// that the join discovers arrive as events.
func (o *viewOwner) startJoin(addresses []string) {
	o.joining = len(addresses) > 0
	if !o.joining {
		return
	}
	go func() {
		if _, err := o.list.Join(addresses); err != nil {
			o.log.Warn("fleet.join", zap.Strings("through", addresses), zap.Error(err))
		}
		o.joined <- struct{}{}
	}()
}

// reconnect asks one dead member to join again, once in reconnectIntervals probe intervals. If no member is dead, a new
// member exchanges states with a random live member instead.
func (o *viewOwner) reconnect(intervals int) {
	if intervals%reconnectIntervals != 0 || o.joining {
		return
	}
	addresses := o.reconnectAddresses()
	if len(addresses) == 0 && intervals <= announceIntervals {
		addresses = o.randomLiveAddress()
	}
	o.startJoin(addresses)
}

// reconnectAddresses returns the address of the next dead member in turn, or the seeds if no other member is live.
func (o *viewOwner) reconnectAddresses() []string {
	if live, _ := o.view.Live(); live <= 1 && len(o.section.Seeds) > 0 {
		return o.section.Seeds
	}
	var dead []string
	for _, member := range o.view.Members() {
		if member.State == membership.Dead {
			dead = append(dead, member.Addr)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	address := dead[o.nextDeadMember%len(dead)]
	o.nextDeadMember++
	return []string{address}
}

// randomLiveAddress returns the address of a random other live member, or nil if there is no other.
func (o *viewOwner) randomLiveAddress() []string {
	var live []string
	for _, member := range o.view.Members() {
		if member.ID != o.self.ID && member.State == membership.Alive {
			live = append(live, member.Addr)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return []string{live[rand.IntN(len(live))]}
}

// reconcile compares the view with memberlist's list, to apply events that a full queue dropped. It also expires
// suspicions and departed members.
func (o *viewOwner) reconcile() {
	now := time.Now()
	maps.DeleteFunc(o.suspects, func(_ string, s suspicion) bool { return now.After(s.until) })
	listed := map[string]bool{}
	for _, node := range o.live.all() {
		listed[node.Name] = true
		o.applyNode(&node, false)
	}
	o.declareMissingDead(listed, now)
	for _, change := range o.view.Expire(now) {
		o.report(change)
		delete(o.incarnations, change.Member.ID)
	}
	o.leaving.Range(func(id, _ any) bool {
		if _, known := o.view.Member(id.(string)); !known {
			o.leaving.Delete(id)
		}
		return true
	})
}

// declareMissingDead marks as dead each live member of the view that was missing from memberlist's list in two
// consecutive reconciliations. Normally the event of a departure arrives before that and tells its cause; it is missing
// only if the queue was full.
func (o *viewOwner) declareMissingDead(listed map[string]bool, now time.Time) {
	missing := map[string]bool{}
	for _, member := range o.view.Members() {
		isLive := member.State == membership.Alive || member.State == membership.Suspect
		if listed[member.ID] || member.ID == o.self.ID || !isLive {
			continue
		}
		missing[member.ID] = true
		if o.missingMembers[member.ID] {
			o.observeState(member, membership.Dead, now)
		}
	}
	o.missingMembers = missing
}

// applyNode applies memberlist's report of a node to the view.
func (o *viewOwner) applyNode(node *memberlist.Node, departed bool) {
	var meta membership.Meta
	if err := json.Unmarshal(node.Meta, &meta); err != nil && node.Name != o.self.ID {
		o.counters.Bad.Add(1)
		o.log.Warn("fleet.refused", zap.String("id", node.Name), zap.String("why", "metadata cannot be decoded"))
		return
	}
	now := time.Now()
	if meta.Started.After(now.Add(maxClockSkew)) {
		o.counters.Future.Add(1)
		o.log.Warn("fleet.refused", zap.String("id", node.Name), zap.Time("started", meta.Started),
			zap.String("why", "an incarnation from the future"))
		return
	}
	if node.Name == o.self.ID {
		return // memberlist refutes suspicions of this member, so the view always holds it as alive
	}
	state := o.stateOf(node.Name, departed)
	if departed {
		o.leaving.Delete(node.Name)
		delete(o.suspects, node.Name)
	}
	o.apply(membership.Observation{
		ID: node.Name, Addr: node.Address(), Incarnation: incarnation(meta), State: state, Meta: meta,
	}, now)
}

// stateOf returns the state of a node that is in memberlist's list or, if departed is set, was removed from it.
func (o *viewOwner) stateOf(id string, departed bool) membership.State {
	_, announced := o.leaving.Load(id)
	_, suspected := o.suspects[id]
	switch {
	case departed && announced:
		return membership.Left
	case departed:
		return membership.Dead
	case suspected:
		return membership.Suspect
	}
	return membership.Alive
}

// observeState applies a new state of a member that the view holds.
func (o *viewOwner) observeState(member membership.Member, state membership.State, now time.Time) {
	o.apply(membership.Observation{
		ID: member.ID, Addr: member.Addr, Incarnation: member.Incarnation, State: state, Meta: member.Meta,
	}, now)
}

// apply applies an observation to the view, and reports the change, if any.
func (o *viewOwner) apply(observed membership.Observation, now time.Time) {
	if change, changed := o.view.Observe(observed, now); changed {
		o.report(change)
	}
}

// report counts and logs a change, and sends it to the subscriber.
func (o *viewOwner) report(change membership.Change) {
	o.countChange(change.Reason)
	member := &change.Member
	o.log.Info("fleet.member", zap.String("id", member.ID), zap.Stringer("from", change.From),
		zap.Stringer("to", member.State), zap.String("why", string(change.Reason)),
		zap.Uint32("incarnation", member.Incarnation), zap.String("zone", member.Meta.Zone),
		zap.Uint64("view", change.ViewNumber), zap.String("digest", o.view.Digest()))
	if !o.hasSubscriber.Load() {
		return
	}
	select {
	case o.changes <- change:
	default:
		o.counters.Lost.Add(1)
	}
}

// countChange adds a change to the counter of its reason.
func (o *viewOwner) countChange(reason membership.Reason) {
	switch reason {
	case membership.ProbesFailed:
		o.counters.Suspicions.Add(1)
	case membership.Refuted:
		o.counters.Refutations.Add(1)
	case membership.SuspicionExpired:
		o.counters.Deaths.Add(1)
	case membership.Joined, membership.Returned, membership.Restarted:
		o.counters.Joins.Add(1)
	case membership.LeaveAnnounced:
		o.counters.Leaves.Add(1)
	}
}

// publish stores a copy of the view for View, if the view has changed.
func (o *viewOwner) publish() {
	if last := o.snapshot.Load(); last != nil && last.Number == o.view.Number() {
		return
	}
	o.snapshot.Store(&Snapshot{
		Self: o.self.ID, Number: o.view.Number(), Digest: o.view.Digest(), Health: o.list.GetHealthScore(),
		Members: o.view.Members(),
	})
}
