package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/memberlist"
)

// Replica is state that all members replicate. Its methods are called on memberlist's goroutines and must not block.
type Replica interface {
	// Receive receives a message of another member.
	Receive(message []byte)
	// Summary returns a summary of this member's copy, which is sent with each push-pull.
	Summary() []byte
	// ReceiveSummary receives the summary of another member's copy.
	ReceiveSummary(summary []byte)
}

// Kind says which package a message among members belongs to. It is the first byte on the wire.
type Kind byte

// The kinds of messages. They are on the wire and never change.
const (
	KindFacts   Kind = 'r' // KindFacts is of package replication.
	KindBudgets Kind = 'b' // KindBudgets is of package budgets.
)

// numKinds is the number of values of a kind.
const numKinds = 256

// Channel carries the messages of one kind.
type Channel struct {
	gossip *Gossip
	kind   Kind
}

// Channel returns the channel of a kind.
func (g *Gossip) Channel(kind Kind) Channel { return Channel{g, kind} }

// Handle sets the function that receives the messages of the kind. It is called on memberlist's goroutines and must not
// block.
func (c Channel) Handle(receive func(message []byte)) { c.gossip.handlers[c.kind].Store(&receive) }

// Attach makes a replica take part in push-pulls and receive the messages of the kind. There is one replica.
func (c Channel) Attach(replica Replica) {
	c.gossip.replica.Store(&replica)
	c.Handle(replica.Receive)
}

// Broadcast disseminates a message to all members by gossip. A later message under the same name replaces one that is
// still being sent.
func (c Channel) Broadcast(name string, message []byte) {
	c.gossip.broadcasts.QueueBroadcast(&broadcast{name, c.frame(message)})
}

// Send sends a message to one member over a stream. It blocks until it is written, for memberlist's TCP timeout at most.
func (c Channel) Send(id string, message []byte) error {
	node, ok := c.gossip.live.find(id)
	if !ok {
		return fmt.Errorf("gossip: %s is no member", id)
	}
	framed := c.frame(message)
	c.gossip.counters.BytesOut.Add(uint64(len(framed)))
	if err := c.gossip.list.SendReliable(&node, framed); err != nil {
		return fmt.Errorf("gossip: to %s: %w", id, err)
	}
	return nil
}

// RandomPeer returns the ID of another live member, or false where there is none.
func (c Channel) RandomPeer() (id string, ok bool) {
	peers := slices.DeleteFunc(c.gossip.live.all(), func(node memberlist.Node) bool { return node.Name == c.gossip.self.ID })
	if len(peers) == 0 {
		return "", false
	}
	return peers[rand.IntN(len(peers))].Name, true
}

// frame puts the kind before a message.
func (c Channel) frame(message []byte) []byte { return append([]byte{byte(c.kind)}, message...) }

// broadcast is a message in memberlist's queue.
type broadcast struct {
	name    string
	message []byte
}

var _ memberlist.NamedBroadcast = (*broadcast)(nil)

// Invalidates reports whether this message replaces another one.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*broadcast)
	return ok && o.name == b.name
}

// Name returns the name under which a message replaces an earlier one.
func (b *broadcast) Name() string { return b.name }

// Message returns the bytes that are sent.
func (b *broadcast) Message() []byte { return b.message }

// Finished does nothing when the message has been sent often enough.
func (b *broadcast) Finished() {}
