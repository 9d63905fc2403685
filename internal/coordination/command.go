package coordination

import (
	"strings"
	"unicode/utf8"

	"dykering/internal/errkind"
)

// Limits of a command. Validate rejects longer names, values and holds.
const (
	// MaxNameBytes bounds the names of locks, numbers, cells and lock holders.
	MaxNameBytes = 256
	// MaxValueBytes bounds the value of a cell.
	MaxValueBytes = 16 << 10
	// MaxHoldMs bounds the time for which a lock is held without a renewal. It is one day in milliseconds.
	MaxHoldMs = 24 * 60 * 60 * 1000
)

// Operation is the kind of a Command. The values are stored and sent, so they are fixed.
type Operation string

// The operations.
const (
	// BeginLock acquires a lock. The current holder may acquire its lock again.
	BeginLock Operation = "begin"
	// RenewLock extends the hold of a lock.
	RenewLock Operation = "renew"
	// FinishLock releases a lock.
	FinishLock Operation = "finish"
	// NextNumber issues the next value of a number.
	NextNumber Operation = "number"
	// PutCell sets the value of a cell.
	PutCell Operation = "put"
	// Compact drops old history and expired holds. Only the head creates it.
	Compact Operation = "compact"
)

// Command changes the state. It is stored and sent with gob, so its field names are fixed.
type Command struct {
	Operation Operation
	// Name is the name of the lock, the number or the cell.
	Name string
	// Holder is the name of the caller that acquires, renews or releases a lock.
	Holder string
	// Token is the fencing token of the hold that is renewed or released.
	Token uint64
	// HoldMs is the requested duration of a hold in milliseconds.
	HoldMs int64
	// ExpiredToken is the token of the lock's current hold if the head knows that it has expired, and 0 otherwise. Only the
	// head sets it.
	ExpiredToken uint64
	// Value is the new value of a cell.
	Value string
	// Conditional is true if the put requires the cell to have the revision IfRevision. A cell that does not exist has
	// revision 0.
	Conditional bool
	IfRevision  uint64
	// Floors maps a group to the revision up to which a Compact drops the group's history.
	Floors map[string]uint64
	// ExpiredHolds maps a lock to the token of the expired hold that a Compact drops.
	ExpiredHolds map[string]uint64
}

// Validate returns an error for a command that no state can execute. The kind is errkind.TooLarge for a value that is too long,
// and errkind.Malformed otherwise.
func (c *Command) Validate() error {
	if c.Name == "" || len(c.Name) > MaxNameBytes || !utf8.ValidString(c.Name) || strings.ContainsRune(c.Name, 0) {
		return errkind.New(errkind.Malformed, "name")
	}
	isHold := c.Operation == BeginLock || c.Operation == RenewLock
	switch {
	case isHold && (c.HoldMs <= 0 || c.HoldMs > MaxHoldMs):
		return errkind.New(errkind.Malformed, "hold_ms")
	case (isHold || c.Operation == FinishLock) && (c.Holder == "" || len(c.Holder) > MaxNameBytes):
		return errkind.New(errkind.Malformed, "lease_holder")
	case c.Operation == PutCell && len(c.Value) > MaxValueBytes:
		return errkind.New(errkind.TooLarge, "value")
	}
	return nil
}

// Result is the result of a command or of a read. It is sent with gob, so its field names are fixed.
type Result struct {
	// Token is the fencing token of an acquired lock.
	Token uint64
	// Number is the issued value of a number.
	Number uint64
	// Revision is the revision of the cell after a put, after a revision conflict or in a read. For a read of a group, it is
	// the revision of the group.
	Revision uint64
	// Value is the value of the cell in a read.
	Value string
	// Found reports whether the cell or the group in a read exists.
	Found bool
}

// Execute returns the state after a command and the result for the caller. If the command changes nothing, Execute returns s
// itself. A rejected command changes nothing. The error of a rejected command is an *errkind.Error of one of these kinds:
//
//   - errkind.LockHeld for a BeginLock if another caller holds the lock,
//   - errkind.LockLost for a RenewLock if the caller no longer holds the lock,
//   - errkind.RevisionConflict for a PutCell whose condition is not met; Result.Revision is then the cell's revision,
//   - errkind.RateLimited if the state has no space for the command,
//   - errkind.Malformed for an unknown operation.
func (s *State) Execute(command Command) (*State, Result, error) {
	switch command.Operation {
	case BeginLock:
		return s.beginLock(command)
	case RenewLock:
		return s.renewLock(command)
	case FinishLock:
		return s.finishLock(command), Result{}, nil
	case NextNumber:
		return s.nextNumber(command)
	case PutCell:
		return s.putCell(command)
	case Compact:
		return s.compact(command), Result{}, nil
	}
	return s, Result{}, errkind.New(errkind.Malformed, "unknown operation")
}
