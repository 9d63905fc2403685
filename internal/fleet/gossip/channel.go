package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/memberlist"
)

// Replica is this member's copy of a state that all members replicate. Its methods are called on memberlist's goroutines
// and must not block.
type Replica interface {
	// Receive handles a message from another member.
	Receive(message []byte)
	// Summary returns a summary of this member's copy. It is sent with each push-pull.
	Summary() []byte
	// ReceiveSummary handles the summary of another member's copy.
	ReceiveSummary(summary []byte)
}

// Kind identifies the package that a message among members belongs to. It is the first byte of each message.
type Kind byte

// The kinds of messages. Their values are part of the wire format and never change.
const (
	KindFacts   Kind = 'r' // KindFacts marks messages of package replication.
	KindBudgets Kind = 'b' // KindBudgets marks messages of package budgets.
)

// numKinds is the number of possible values of Kind.
const numKinds = 256

// Channel sends and receives the messages of one kind.
type Channel struct {
	gossip *Gossip
	kind   Kind
}

// Channel returns the channel for messages of a kind.
func (g *Gossip) Channel(kind Kind) Channel { return Channel{g, kind} }

// Handle sets the function that receives the channel's messages. The function is called on memberlist's goroutines and
// must not block.
func (c Channel) Handle(receive func(message []byte)) { c.gossip.handlers[c.kind].Store(&receive) }

// Attach makes a replica take part in push-pulls and receive the channel's messages. A member has at most one replica.
func (c Channel) Attach(replica Replica) {
	c.gossip.replica.Store(&replica)
	c.Handle(replica.Receive)
}

// Broadcast disseminates a message to all members by gossip. It replaces an earlier message with the same name that is
// still being sent.
func (c Channel) Broadcast(name string, message []byte) {
	c.gossip.broadcasts.QueueBroadcast(&broadcast{name, c.frame(message)})
}

// Send sends a message to one member over a stream. It blocks until the message is written, at most for memberlist's TCP
// timeout.
func (c Channel) Send(id string, message []byte) error {
	node, ok := c.gossip.live.find(id)
	if !ok {
		return fmt.Errorf("gossip: %q is not a live member", id)
	}
	framed := c.frame(message)
	c.gossip.counters.BytesOut.Add(uint64(len(framed)))
	if err := c.gossip.list.SendReliable(&node, framed); err != nil {
		return fmt.Errorf("gossip: send message to %q: %w", id, err)
	}
	return nil
}

// RandomPeer returns the ID of a random other live member, or false if there is no other.
func (c Channel) RandomPeer() (id string, ok bool) {
	peers := slices.DeleteFunc(c.gossip.live.all(), func(node memberlist.Node) bool { return node.Name == c.gossip.self.ID })
	if len(peers) == 0 {
		return "", false
	}
	return peers[rand.IntN(len(peers))].Name, true
}

// frame prepends the kind to a message.
func (c Channel) frame(message []byte) []byte { return append([]byte{byte(c.kind)}, message...) }

// broadcast is a message in memberlist's broadcast queue.
type broadcast struct {
	name    string
	message []byte
}

var _ memberlist.NamedBroadcast = (*broadcast)(nil)

// Invalidates reports whether this message replaces another one in the queue.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*broadcast)
	return ok && o.name == b.name
}

// Name returns the name of the message; a message replaces queued messages with the same name.
func (b *broadcast) Name() string { return b.name }

// Message returns the bytes to send.
func (b *broadcast) Message() []byte { return b.message }

// Finished is called when memberlist has sent the message often enough or dropped it. It does nothing.
func (b *broadcast) Finished() {}
