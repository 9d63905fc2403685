package coordination

import (
	"strings"
	"unicode/utf8"

	"dykering/internal/errkind"
)

// Limits of what one command may bring. Longer names and values are malformed.
const (
	// MaxNameBytes bounds the name of a lock, a number or a cell, and of a lock holder.
	MaxNameBytes = 256
	// MaxValueBytes bounds the value of a cell.
	MaxValueBytes = 16 << 10
	// MaxHoldMs bounds the time for which a lock is held without a renewal: a day.
	MaxHoldMs = 24 * 60 * 60 * 1000
)

// Operation is what a Command does. The values are stored and sent: they are fixed.
type Operation string

// The operations.
const (
	// BeginLock takes a lock, or takes it again for its holder.
	BeginLock Operation = "begin"
	// RenewLock gives the holder of a lock more time.
	RenewLock Operation = "renew"
	// FinishLock gives a lock back.
	FinishLock Operation = "finish"
	// NextNumber hands out the next value of a number.
	NextNumber Operation = "number"
	// PutCell sets the value of a cell.
	PutCell Operation = "put"
	// Compact drops history and holds that are over. Only the head makes it.
	Compact Operation = "compact"
)

// Command changes the state. It is stored and sent with gob: the names of its fields are fixed.
type Command struct {
	Operation Operation
	// Name is that of the lock, the number or the cell.
	Name string
	// Holder, Token and HoldMs are those of a lock's hold.
	Holder string
	Token  uint64
	HoldMs int64
	// ExpiredToken is the token of a hold that the head knows to be over; 0 for none. It is set by the head alone.
	ExpiredToken uint64
	// Value is that of a cell.
	Value string
	// Conditional is true if the cell must have the revision IfRevision, which is 0 for a cell that must not exist.
	Conditional bool
	IfRevision  uint64
	// Floors are, for a Compact, the revisions by group up to which the history is dropped.
	Floors map[string]uint64
	// ExpiredHolds are, for a Compact, the tokens of holds that are over, by lock.
	ExpiredHolds map[string]uint64
}

// Validate returns an error of kind errkind.Malformed for a command that no state can execute.
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

// Result is what the caller of a command or of a read is answered. It is sent with gob: its field names are fixed.
type Result struct {
	// Token is the fencing token of a lock that was taken.
	Token uint64
	// Number is the value that was handed out.
	Number uint64
	// Revision is that of a cell: after a put, at a conflict, or as read. For a read of a group it is the group's.
	Revision uint64
	// Value is that of a cell that was read.
	Value string
	// Found reports whether the cell that was read exists.
	Found bool
}

// Execute returns the state after a command and the caller's result. If the command changes nothing, the state is returned
// itself. A rejected command changes nothing; the error is an *errkind.Error:
//
//   - errkind.LockHeld for a BeginLock of a lock that another holder has,
//   - errkind.LockLost for a RenewLock of a lock that the holder has no longer,
//   - errkind.RevisionConflict for a PutCell whose condition does not hold; Result.Revision is then the cell's,
//   - errkind.RateLimited for a command for which there is no space,
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
