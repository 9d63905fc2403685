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
	// reconnectIntervals is how often, in probe intervals, one dead member is asked to join again, as Serf does. SWIM
	// never probes the dead: without this the two sides of a partition would stay two fleets after it heals.
	reconnectIntervals = 5
	// announceIntervals is for how long, in probe intervals, a new member exchanges states with random members. One that
	// starts again at another address before its old process was found dead is rejected until then, and would not be
	// known before memberlist's next push-pull.
	announceIntervals = 60
	// maxClockSkew is how far in the future a member's start may be. Clocks of one site differ less.
	maxClockSkew = time.Minute
)

// viewOwner is the goroutine that changes the view.
type viewOwner struct {
	*Gossip
	view           *membership.View
	suspects       map[string]suspicion
	incarnations   map[string]uint32 // memberlist's incarnations by member ID, as its messages have them
	missingMembers map[string]bool   // members that memberlist's list lacked at the last reconciliation

	joining        bool          // a join is running; there is one at a time
	joined         chan struct{} // receives when a join has ended
	nextDeadMember int           // the dead member that is asked next, in the order of the view
}

func newViewOwner(g *Gossip, view *membership.View) *viewOwner {
	return &viewOwner{
		Gossip: g, view: view, suspects: map[string]suspicion{}, incarnations: map[string]uint32{},
		joined: make(chan struct{}, 1),
	}
}

// run applies events until the member closes.
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

// startJoin joins through addresses in a goroutine, which memberlist's TCP timeout bounds for each address. What it
// finds arrives as events.
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

// reconnect asks, every few probe intervals, one dead member to join again; a new member exchanges states with a live
// one where there is no dead one.
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

// reconnectAddresses returns the address of the next dead member in turn, or the seeds where no other member is live.
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

// randomLiveAddress returns the address of another live member, or none.
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

// reconcile compares the view with memberlist's list, so that events which a queue dropped are made up for, and expires
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

// declareMissingDead takes for dead each member that memberlist's list has lacked for two reconciliations. A departure's
// event comes within a moment and has the cause; it is missing only where the queue was full.
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

// applyNode applies what memberlist reports of a node.
func (o *viewOwner) applyNode(node *memberlist.Node, departed bool) {
	var meta membership.Meta
	if err := json.Unmarshal(node.Meta, &meta); err != nil && node.Name != o.self.ID {
		o.counters.Bad.Add(1)
		o.log.Warn("fleet.refused", zap.String("id", node.Name), zap.String("why", "meta that is not ours"))
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
		return // memberlist refutes suspicions of this member; the view keeps it alive
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

// stateOf returns the state of a node that is in memberlist's list or has departed from it.
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

// observeState applies another state of a member that the view holds.
func (o *viewOwner) observeState(member membership.Member, state membership.State, now time.Time) {
	o.apply(membership.Observation{
		ID: member.ID, Addr: member.Addr, Incarnation: member.Incarnation, State: state, Meta: member.Meta,
	}, now)
}

// apply applies an observation, and reports the change that it makes.
func (o *viewOwner) apply(observed membership.Observation, now time.Time) {
	if change, changed := o.view.Observe(observed, now); changed {
		o.report(change)
	}
}

// report counts and logs a change, and hands it to the subscriber.
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

// publish stores the view for View, if it has changed.
func (o *viewOwner) publish() {
	if last := o.snapshot.Load(); last != nil && last.Number == o.view.Number() {
		return
	}
	o.snapshot.Store(&Snapshot{
		Self: o.self.ID, Number: o.view.Number(), Digest: o.view.Digest(), Health: o.list.GetHealthScore(),
		Members: o.view.Members(),
	})
}
