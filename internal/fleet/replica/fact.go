package replica

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"
)

// Verdict is a broker's judgment of a server. Its numbers are part of the wire format.
type Verdict uint8

// The verdicts.
const (
	Good Verdict = 1 // Good means that the server answered the origin successfully.
	Bad  Verdict = 2 // Bad means that the origin has ejected the server.
)

// Stamp orders the facts of one origin. It is a timestamp of a hybrid logical clock, so that the facts of a restarted
// process follow those of its predecessor even if its wall clock was set back.
type Stamp struct {
	Wall    int64  `codec:"w" json:"wall"` // Wall is a Unix time in milliseconds.
	Logical uint32 `codec:"l" json:"logical"`
}

// Compare returns -1, 0 or 1 if the stamp is before, equal to or after another one.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Logical, other.Logical))
}

// Fact is one version of a register: a broker's verdict on a server. Its codec keys are part of the wire format and of
// snapshots, its JSON keys of the answers of the control address.
type Fact struct {
	Origin  string  `codec:"o" json:"origin"`
	Subject string  `codec:"s" json:"subject"` // Subject identifies a server by its UID and start time.
	Stamp   Stamp   `codec:"t" json:"stamp"`
	Verdict Verdict `codec:"k" json:"word"`
	// Remaining is the remaining lifetime. It is a duration, because the clocks of brokers differ.
	Remaining time.Duration `codec:"f" json:"left"`
}

// Key returns a string that identifies this version of a register.
func (f Fact) Key() string {
	return fmt.Sprintf("%s\x00%s\x00%d.%d", f.Origin, f.Subject, f.Stamp.Wall, f.Stamp.Logical)
}

// hash returns a hash of all fields except the remaining lifetime, which differs between copies because of delays.
func (f Fact) hash() uint64 {
	const wallBytes, logicalBytes = 8, 4
	var fixed [14]byte // the last byte is always 0 and stays for compatibility: brokers compare the hashes
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
