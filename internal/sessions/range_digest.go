package sessions

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"time"
)

// Replicas of the table are compared by a tree of digests over ranges of hashed IDs, as in a Merkle tree. Each range has
// Fanout children, and only children whose digests differ are compared further. Two replicas with few differences find them
// with few messages.
const (
	// Fanout is the number of children of a range.
	Fanout = 16
	// Depth is the number of levels below the root. A range at this depth is a leaf: replicas exchange its records.
	Depth = 2
)

// Range identifies a node of the tree, and thereby the IDs below the node. It contains the index of the child at each level,
// starting at the root. The empty range is the root.
type Range []byte

// Valid reports whether a range identifies a node of the tree. A range that a peer has sent can contain arbitrary bytes.
func (r Range) Valid() bool {
	for _, child := range r {
		if child >= Fanout {
			return false
		}
	}
	return len(r) <= Depth
}

// IsLeaf reports whether a range has no children.
func (r Range) IsLeaf() bool { return len(r) >= Depth }

// Child returns a child of a range.
func (r Range) Child(index int) Range { return append(append(Range{}, r...), byte(index)) }

// contains reports whether the ID with the given path is in a range.
func (r Range) contains(path [Depth]byte) bool {
	for level, child := range r {
		if path[level] != child {
			return false
		}
	}
	return true
}

// pathOf returns the path from the root to the leaf that contains an ID. All replicas must compute the same path: if it were
// changed, processes of two versions would find differences that do not exist.
func pathOf(id string) [Depth]byte {
	hash := fnv.New64a()
	io.WriteString(hash, id)
	sum := hash.Sum64()
	var path [Depth]byte
	for level := range path {
		path[level] = byte(sum>>(4*level)) % Fanout
	}
	return path
}

// ChildDigests returns the digests of the children of a range. All digests are zero if the range is a leaf.
func (t *Table) ChildDigests(parent Range) [Fanout]uint64 {
	var digests [Fanout]uint64
	if parent.IsLeaf() {
		return digests
	}
	for id, stored := range t.rows {
		if path := pathOf(id); parent.contains(path) {
			digests[path[len(parent)]] ^= stored.endpoint.digest()
		}
	}
	return digests
}

// DifferingChildren returns the children of a range whose digests differ from the digests of a peer.
func (t *Table) DifferingChildren(parent Range, peerDigests [Fanout]uint64) []Range {
	var differing []Range
	for index, digest := range t.ChildDigests(parent) {
		if digest != peerDigests[index] {
			differing = append(differing, parent.Child(index))
		}
	}
	return differing
}

// RecordsIn returns the records of the sessions in a range, in no particular order.
func (t *Table) RecordsIn(now time.Duration, within Range) []Record {
	var out []Record
	for id, stored := range t.rows {
		if within.contains(pathOf(id)) {
			out = append(out, stored.record(now))
		}
	}
	return out
}

// digest hashes the fields that replicas must agree on. It excludes sequence numbers and times, which differ while a renewal is
// on its way. It also treats Expired as Ready, since each replica determines the expiry by its own clock.
func (e *Endpoint) digest() uint64 {
	hash := fnv.New64a()
	write := func(text string) {
		io.WriteString(hash, text)
		hash.Write([]byte{0})
	}
	state := e.State
	if state == Expired {
		state = Ready
	}
	write(e.ID)
	write(string(state))
	write(e.Heartbeat.Service)
	write(e.Heartbeat.Address)
	for _, model := range e.Heartbeat.Models {
		write(model.Name)
		for _, adapter := range model.Adapters {
			write(adapter)
		}
	}
	var version [8]byte
	binary.BigEndian.PutUint64(version[:], e.Overlay.Version)
	hash.Write(version[:])
	return hash.Sum64()
}
