package gossip

import (
	"sync"

	"github.com/hashicorp/memberlist"
)

// liveNodes holds copies of the nodes in memberlist's list. memberlist.Members returns pointers to nodes that its
// goroutines keep changing, so reading them is a data race. memberlist's event callbacks run under its lock, so copies
// made in the callbacks are consistent.
type liveNodes struct {
	mu    sync.Mutex
	nodes map[string]memberlist.Node
}

func newLiveNodes() *liveNodes { return &liveNodes{nodes: map[string]memberlist.Node{}} }

// set stores a node that has joined or changed.
func (l *liveNodes) set(node memberlist.Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes[node.Name] = node
}

// remove deletes a node that is dead or has left.
func (l *liveNodes) remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.nodes, name)
}

// find returns a copy of a live node by its name.
func (l *liveNodes) find(name string) (memberlist.Node, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	node, ok := l.nodes[name]
	return node, ok
}

// all returns copies of the live nodes in no particular order.
func (l *liveNodes) all() []memberlist.Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	nodes := make([]memberlist.Node, 0, len(l.nodes))
	for _, node := range l.nodes {
		nodes = append(nodes, node)
	}
	return nodes
}
