package sessions

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"time"
)

// Replicas of the table are compared by a tree of digests over ranges of IDs, as in a Merkle tree: each range has Fanout
// children, and only children whose digests differ are compared further. Two replicas that differ in little so find out
// with few messages.
const (
	// Fanout is the number of children of a range.
	Fanout = 16
	// Depth is the number of levels below the root. A range at this depth is a leaf: its sessions are sent themselves.
	Depth = 2
)

// Range is a node of the tree, and the IDs below it: the index of the child taken at each level, from the root on. The
// empty range is the root.
type Range []byte

// Valid reports whether a range is a node of the tree. A range that a peer has sent may be any bytes.
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

// contains reports whether an ID, by its path, is below a range.
func (r Range) contains(path [Depth]byte) bool {
	for level, child := range r {
		if path[level] != child {
			return false
		}
	}
	return true
}

// pathOf returns the path from the root to the leaf that an ID is in. All replicas must compute the same one: changing it
// makes processes of two versions find differences that do not exist.
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

// ChildDigests returns the digests of the children of a range; all zero for a leaf.
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

// DifferingChildren lists the children of a range whose digests differ from those of a peer.
func (t *Table) DifferingChildren(parent Range, theirs [Fanout]uint64) []Range {
	var differing []Range
	for index, digest := range t.ChildDigests(parent) {
		if digest != theirs[index] {
			differing = append(differing, parent.Child(index))
		}
	}
	return differing
}

// RecordsIn returns the records of the sessions in a range, in no order.
func (t *Table) RecordsIn(now time.Duration, within Range) []Record {
	var out []Record
	for id, stored := range t.rows {
		if within.contains(pathOf(id)) {
			out = append(out, stored.record(now))
		}
	}
	return out
}

// digest covers the fields that replicas have to agree on. Sequence numbers and times are left out, as they differ while a
// renewal is on its way; so is expiry, which each replica judges by itself.
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
