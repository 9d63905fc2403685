package gossip

import (
	"sync"

	"github.com/hashicorp/memberlist"
)

// roster holds copies of the nodes that memberlist lists as live. memberlist's own Members returns pointers to nodes
// that its goroutines go on changing; its event callbacks run under its lock, so that copies made in them are whole.
type roster struct {
	mu    sync.Mutex
	nodes map[string]memberlist.Node
}

func newRoster() *roster { return &roster{nodes: map[string]memberlist.Node{}} }

// set takes a node that has joined or changed.
func (r *roster) set(node memberlist.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes[node.Name] = node
}

// remove takes a node that is dead or has left.
func (r *roster) remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.nodes, name)
}

// find returns a copy of a live node.
func (r *roster) find(name string) (memberlist.Node, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	node, ok := r.nodes[name]
	return node, ok
}

// all returns copies of the live nodes, in no order.
func (r *roster) all() []memberlist.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := make([]memberlist.Node, 0, len(r.nodes))
	for _, node := range r.nodes {
		nodes = append(nodes, node)
	}
	return nodes
}
