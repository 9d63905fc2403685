package systemdemo

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that a Coordinator returns.
var (
	// ErrNotServed means that the control process has no coordination service.
	ErrNotServed = errors.New("coordination is not served")
	// ErrUnavailable means that the outcome of a call is unknown. The call may have taken effect, and the caller repeats it.
	ErrUnavailable = errors.New("the call got no definite answer")
	// ErrLockHeld means that another caller holds the lock.
	ErrLockHeld = errors.New("another caller holds the lock")
	// ErrLockLost means that the caller no longer holds the lock that it renews.
	ErrLockLost = errors.New("the caller no longer holds the lock")
	// ErrRevisionMismatch means that the key has another revision than the put requires.
	ErrRevisionMismatch = errors.New("the key has another revision than the put requires")
)

// Coordinator is a client of locks, numbers, keys and watches. Each method sends one call and does not retry.
type Coordinator interface {
	// AcquireLock acquires a lock for the hold time and returns its fencing token, or ErrLockHeld.
	AcquireLock(ctx context.Context, lock, holder string, hold time.Duration) (token uint64, err error)
	// RenewLock extends a lock by the hold time from now, or returns ErrLockLost.
	RenewLock(ctx context.Context, lock, holder string, token uint64, hold time.Duration) error
	// ReleaseLock releases a lock.
	ReleaseLock(ctx context.Context, lock, holder string, token uint64) error
	// NextNumber returns a number above all numbers that were returned for the name before.
	NextNumber(ctx context.Context, name string) (uint64, error)
	// PutKey replaces the value of a key whose revision is ifRevision, which is 0 for a key that does not exist. It returns the new
	// revision, or ErrRevisionMismatch.
	PutKey(ctx context.Context, key, value string, ifRevision uint64) (revision uint64, err error)
	// ReadKey returns the value and revision of a key. The revision is 0 for a key that does not exist.
	ReadKey(ctx context.Context, key string) (Change, error)
	// WatchGroup returns the changes of a group of keys after a revision. It waits up to the given time for a change.
	WatchGroup(ctx context.Context, group string, after uint64, wait time.Duration) (Changes, error)
}

// Change is an acknowledged put of a key.
type Change struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Changes holds all puts of a group above the requested revision and up to Revision.
type Changes struct {
	Events   []Change `json:"events"`
	Revision uint64   `json:"revision"`
}
