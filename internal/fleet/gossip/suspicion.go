package gossip

import (
	"math"
	"time"

	"dykering/internal/fleet/membership"
)

// suspicionMaxFactor is by how much memberlist's longest suspicion outlasts its shortest (its SuspicionMaxTimeoutMult is
// 6), with a margin.
const suspicionMaxFactor = 7

// suspicion is that of a member in one of memberlist's incarnations, which a refutation raises.
type suspicion struct {
	incarnation uint32
	until       time.Time // until is when memberlist has either declared the member dead or received its refutation.
}

// inspectPacket reads a packet on memberlist's goroutines, before it is sent or after it was received. memberlist sends
// each suspicion, refutation and death that it has accepted itself, so that packets out have its own state; those in
// announce who leaves. What a full queue drops is reconciled later, except for a suspicion.
func (g *Gossip) inspectPacket(packet []byte, outgoing bool) {
	eachMemberMessage(packet, func(message memberMessage) {
		switch {
		case message.Node == g.self.ID:
		case outgoing:
			select {
			case g.messages <- message:
			default:
				g.counters.Lost.Add(1)
			}
		case message.announcesLeave():
			g.leaving.Store(message.Node, true)
		case message.kind == kindAlive:
			g.leaving.Delete(message.Node)
		}
	})
}

// applyMessage applies a message that memberlist sends about a member of the view. Each is sent several times.
func (o *viewOwner) applyMessage(message memberMessage) {
	member, known := o.view.Member(message.Node)
	if !known {
		return
	}
	now := time.Now()
	switch {
	case message.kind == kindSuspect && member.State == membership.Alive && message.Incarnation >= o.incarnations[member.ID]:
		o.suspects[member.ID] = suspicion{message.Incarnation, now.Add(o.maxSuspicion())}
		o.observeState(member, membership.Suspect, now)
	case message.kind == kindAlive:
		o.applyAlive(member, message.Incarnation, now)
	case message.announcesLeave() && member.State == membership.Dead:
		o.observeState(member, membership.Left, now) // memberlist had the departure from a push-pull, without its cause
	}
}

// applyAlive ends a suspicion that a higher incarnation refutes.
func (o *viewOwner) applyAlive(member membership.Member, incarnation uint32, now time.Time) {
	o.incarnations[member.ID] = max(o.incarnations[member.ID], incarnation)
	suspected, isSuspect := o.suspects[member.ID]
	if !isSuspect || incarnation <= suspected.incarnation {
		return
	}
	delete(o.suspects, member.ID)
	o.observeState(member, membership.Alive, now)
}

// maxSuspicion is the longest time that memberlist suspects a member in a fleet of this size.
func (o *viewOwner) maxSuspicion() time.Duration {
	live, _ := o.view.Live()
	sizeFactor := max(1, math.Log10(float64(live)))
	shortest := float64(o.section.SuspicionMult) * sizeFactor * float64(o.section.ProbeInterval)
	return time.Duration(shortest * suspicionMaxFactor)
}
