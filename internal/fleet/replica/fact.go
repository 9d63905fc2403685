package replica

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"
)

// Verdict is what a fact says of its subject. Its numbers are on the wire.
type Verdict uint8

// The verdicts.
const (
	Good Verdict = 1 // Good is a server that answered the origin well.
	Bad  Verdict = 2 // Bad is a server that the origin has ejected.
)

// Stamp orders the facts of one origin. It is a hybrid logical clock, so that a new process whose wall clock was set
// back still writes after the old one.
type Stamp struct {
	Wall    int64  `codec:"w" json:"wall"` // Wall is in milliseconds of Unix time.
	Logical uint32 `codec:"l" json:"logical"`
}

// Compare orders stamps.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Logical, other.Logical))
}

// Fact is one version of a register. Its keys are on the wire, in snapshots and in the answers of the control address.
type Fact struct {
	Origin    string        `codec:"o" json:"origin"`
	Subject   string        `codec:"s" json:"subject"` // Subject is a server: its UID and start.
	Stamp     Stamp         `codec:"t" json:"stamp"`
	Verdict   Verdict       `codec:"k" json:"word"` // Word is the verdict.
	Remaining time.Duration `codec:"f" json:"left"` // Left is the remaining lifetime: not a time, as clocks differ.
}

// Key identifies a version of a register.
func (f Fact) Key() string {
	return fmt.Sprintf("%s\x00%s\x00%d.%d", f.Origin, f.Subject, f.Stamp.Wall, f.Stamp.Logical)
}

// hash covers all that two copies of a fact agree on: not the remaining lifetime, which differs by their delays.
func (f Fact) hash() uint64 {
	const wallBytes, logicalBytes = 8, 4
	var fixed [14]byte // the last byte is always 0: it is part of the sums that brokers compare
	binary.BigEndian.PutUint64(fixed[:], uint64(f.Stamp.Wall))
	binary.BigEndian.PutUint32(fixed[wallBytes:], f.Stamp.Logical)
	fixed[wallBytes+logicalBytes] = byte(f.Verdict)
	h := fnv.New64a()
	h.Write(fixed[:])
	h.Write([]byte(f.Origin))
	h.Write([]byte{0})
	h.Write([]byte(f.Subject))
	return h.Sum64()
}
