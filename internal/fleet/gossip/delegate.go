package gossip

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"dykering/internal/fleet/membership"
)

// delegate is what memberlist calls, on its goroutines and partly under its lock: no method blocks.
type delegate Gossip

var (
	_ memberlist.Delegate         = (*delegate)(nil)
	_ memberlist.EventDelegate    = (*delegate)(nil)
	_ memberlist.ConflictDelegate = (*delegate)(nil)
	_ memberlist.PingDelegate     = (*delegate)(nil)
	_ memberlist.AliveDelegate    = (*delegate)(nil)
)

// NotifyJoin queues the event of a node that is new or back.
func (d *delegate) NotifyJoin(node *memberlist.Node) { d.queue(memberlist.NodeJoin, node) }

// NotifyLeave queues the event of a node that is dead or has left.
func (d *delegate) NotifyLeave(node *memberlist.Node) { d.queue(memberlist.NodeLeave, node) }

// NotifyUpdate queues the event of a node with other metadata.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.queue(memberlist.NodeUpdate, node) }

// queue hands a copy of a node to the owner of the view: memberlist goes on changing the node itself.
func (d *delegate) queue(kind memberlist.NodeEventType, node *memberlist.Node) {
	copied := *node
	if kind == memberlist.NodeLeave {
		d.live.remove(copied.Name)
	} else {
		d.live.set(copied)
	}
	select {
	case d.events <- memberlist.NodeEvent{Event: kind, Node: &copied}:
	default: // the next reconciliation finds it
	}
}

// NotifyConflict reports a second process with the ID of a member.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.counters.Conflicts.Add(1)
	d.log.Warn("fleet.conflict", zap.String("id", existing.Name), zap.String("addr", existing.Address()),
		zap.String("other", other.Address()), zap.String("why", "a second process with the same id"))
}

// AckPayload adds nothing to the answer to a probe.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete counts an answered probe.
func (d *delegate) NotifyPingComplete(*memberlist.Node, time.Duration, []byte) {
	d.counters.Acks.Add(1)
}

// NotifyAlive rejects a node whose metadata cannot be read, before memberlist adds it.
func (d *delegate) NotifyAlive(node *memberlist.Node) error {
	var meta membership.Meta
	if node.Name != d.self.ID && json.Unmarshal(node.Meta, &meta) != nil {
		d.counters.Bad.Add(1)
		return fmt.Errorf("%s: meta that is not ours", node.Name)
	}
	return nil
}

// NodeMeta returns this member's metadata, which is well below memberlist's limit of 512 bytes.
func (d *delegate) NodeMeta(limit int) []byte {
	text, _ := json.Marshal(d.self.Meta) // strings, a time and a number: it cannot fail
	return text[:min(len(text), limit)]
}

// NotifyMsg hands a message to the handler of its kind.
func (d *delegate) NotifyMsg(message []byte) {
	if len(message) < 2 {
		return
	}
	if handle := d.handlers[message[0]].Load(); handle != nil {
		(*handle)(bytes.Clone(message[1:])) // memberlist uses the bytes again
	}
}

// GetBroadcasts returns messages that fit into a packet.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState returns the replica's summary for a push-pull.
func (d *delegate) LocalState(bool) []byte {
	if replica := d.replica.Load(); replica != nil {
		return (*replica).Summary()
	}
	return nil
}

// MergeRemoteState hands the summary in another member's push-pull to the replica.
func (d *delegate) MergeRemoteState(summary []byte, _ bool) {
	if replica := d.replica.Load(); replica != nil && len(summary) > 0 {
		(*replica).ReceiveSummary(bytes.Clone(summary))
	}
}
