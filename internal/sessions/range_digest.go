package sessions

import (
	"encoding/binary"
	"hash/fnv"
	"io"
)

// Copies of the table are compared by digests of ranges of ids, in a tree: each range has fanout parts, and only parts
// whose digests differ are looked into, so that two copies which differ little find out with little said.
const (
	// Fanout is into how many parts a range is divided, and Depth how often.
	Fanout = 16
	Depth  = 2
)

// Range is a part of all ids: the places of its division, from the root on.
type Range []byte

// Valid tells whether a range is one of the tree's.
func (r Range) Valid() bool {
	for _, place := range r {
		if place >= Fanout {
			return false
		}
	}
	return len(r) <= Depth
}

// places are the ranges that an id is in, one for each level.
func path(id string) [Depth]byte {
	hash := fnv.New64a()
	io.WriteString(hash, id)
	sum := hash.Sum64()
	var at [Depth]byte
	for i := range at {
		at[i] = byte(sum>>(4*i)) % Fanout
	}
	return at
}

func (r Range) contains(id string) bool {
	at := path(id)
	for i, place := range r {
		if at[i] != place {
			return false
		}
	}
	return true
}

// Digests are those of the parts of a range.
func (t *Table) ChildDigests(of Range) [Fanout]uint64 {
	var digests [Fanout]uint64
	if len(of) >= Depth {
		return digests
	}
	for id, row := range t.rows {
		if of.contains(id) {
			digests[path(id)[len(of)]] ^= row.endpoint.digest()
		}
	}
	return digests
}

// Differing lists the parts of a range whose digests are others here.
func (t *Table) DifferingChildren(of Range, theirs [Fanout]uint64) []Range {
	var differing []Range
	for i, digest := range t.ChildDigests(of) {
		if digest != theirs[i] {
			differing = append(differing, append(append(Range{}, of...), byte(i)))
		}
	}
	return differing
}

// In lists the ids of a range.
func (t *Table) IDs(of Range) []string {
	var ids []string
	for id := range t.rows {
		if of.contains(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// digest is that of what copies should agree on. Sequence numbers and times are not: they differ between two signs of
// life.
func (e *Endpoint) digest() uint64 {
	hash := fnv.New64a()
	write := func(text string) {
		io.WriteString(hash, text)
		hash.Write([]byte{0})
	}
	state := e.State
	if state == Expired {
		state = Ready // each copy judges silence by itself
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
