package gossip

import (
	"math"
	"time"

	"dykering/internal/fleet/membership"
)

// suspicionMaxFactor is the ratio of memberlist's longest to its shortest suspicion timeout (SuspicionMaxTimeoutMult,
// which is 6), plus a margin.
const suspicionMaxFactor = 7

// suspicion is a suspicion of a member that memberlist holds. It applies to one of memberlist's incarnations of the
// member; a refutation raises the incarnation.
type suspicion struct {
	incarnation uint32
	until       time.Time // until is the time by which memberlist has declared the member dead or received its refutation.
}

// inspectPacket decodes a packet on memberlist's goroutines, before it is sent or after it was received. memberlist sends
// each suspicion, refutation and death that it has accepted, so outgoing packets show its own state. Incoming packets
// announce departures. If the queue is full, the message is dropped; reconciliation later makes up for any message but a
// suspicion.
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

// applyMessage applies a message that memberlist sends about a member of the view. memberlist sends each message several
// times.
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
		// memberlist learned of the departure in a push-pull, which does not tell its cause.
		o.observeState(member, membership.Left, now)
	}
}

// applyAlive records an incarnation of a member, and ends a suspicion that it refutes.
func (o *viewOwner) applyAlive(member membership.Member, incarnation uint32, now time.Time) {
	o.incarnations[member.ID] = max(o.incarnations[member.ID], incarnation)
	suspected, isSuspect := o.suspects[member.ID]
	if !isSuspect || incarnation <= suspected.incarnation {
		return
	}
	delete(o.suspects, member.ID)
	o.observeState(member, membership.Alive, now)
}

// maxSuspicion returns the longest time for which memberlist suspects a member in a fleet of the present size.
func (o *viewOwner) maxSuspicion() time.Duration {
	live, _ := o.view.Live()
	sizeFactor := max(1, math.Log10(float64(live)))
	shortest := float64(o.section.SuspicionMult) * sizeFactor * float64(o.section.ProbeInterval)
	return time.Duration(shortest * suspicionMaxFactor)
}
