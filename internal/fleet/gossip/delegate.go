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

// delegate implements memberlist's callbacks. memberlist calls them on its goroutines and some of them under its lock, so
// no method may block.
type delegate Gossip

var (
	_ memberlist.Delegate         = (*delegate)(nil)
	_ memberlist.EventDelegate    = (*delegate)(nil)
	_ memberlist.ConflictDelegate = (*delegate)(nil)
	_ memberlist.PingDelegate     = (*delegate)(nil)
	_ memberlist.AliveDelegate    = (*delegate)(nil)
)

// NotifyJoin queues the event of a node that joined or returned.
func (d *delegate) NotifyJoin(node *memberlist.Node) { d.queue(memberlist.NodeJoin, node) }

// NotifyLeave queues the event of a node that died or left.
func (d *delegate) NotifyLeave(node *memberlist.Node) { d.queue(memberlist.NodeLeave, node) }

// NotifyUpdate queues the event of a node whose metadata changed.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.queue(memberlist.NodeUpdate, node) }

// queue sends an event with a copy of the node to the view owner. memberlist keeps changing the node itself.
func (d *delegate) queue(kind memberlist.NodeEventType, node *memberlist.Node) {
	copied := *node
	if kind == memberlist.NodeLeave {
		d.live.remove(copied.Name)
	} else {
		d.live.set(copied)
	}
	select {
	case d.events <- memberlist.NodeEvent{Event: kind, Node: &copied}:
	default: // the queue is full; the next reconciliation applies the node
	}
}

// NotifyConflict reports a second process with the ID of a member.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.counters.Conflicts.Add(1)
	d.log.Warn("fleet.conflict", zap.String("id", existing.Name), zap.String("addr", existing.Address()),
		zap.String("other", other.Address()), zap.String("why", "a second process with the same id"))
}

// AckPayload returns no payload for the answer to a probe.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete counts an answered probe.
func (d *delegate) NotifyPingComplete(*memberlist.Node, time.Duration, []byte) {
	d.counters.Acks.Add(1)
}

// NotifyAlive rejects a node whose metadata cannot be decoded, before memberlist adds the node.
func (d *delegate) NotifyAlive(node *memberlist.Node) error {
	var meta membership.Meta
	if node.Name != d.self.ID && json.Unmarshal(node.Meta, &meta) != nil {
		d.counters.Bad.Add(1)
		return fmt.Errorf("node %q: metadata cannot be decoded", node.Name)
	}
	return nil
}

// NodeMeta returns this member's metadata, which is well below memberlist's limit of 512 bytes.
func (d *delegate) NodeMeta(limit int) []byte {
	data, _ := json.Marshal(d.self.Meta) // encoding strings, a time and a number cannot fail
	return data[:min(len(data), limit)]
}

// NotifyMsg passes a message to the handler of its kind.
func (d *delegate) NotifyMsg(message []byte) {
	if len(message) < 2 {
		return
	}
	if handle := d.handlers[message[0]].Load(); handle != nil {
		(*handle)(bytes.Clone(message[1:])) // memberlist reuses the buffer
	}
}

// GetBroadcasts returns queued broadcasts that fit into a packet.
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

// MergeRemoteState passes the summary in another member's push-pull to the replica.
func (d *delegate) MergeRemoteState(summary []byte, _ bool) {
	if replica := d.replica.Load(); replica != nil && len(summary) > 0 {
		(*replica).ReceiveSummary(bytes.Clone(summary))
	}
}
