package systemdemo

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Coordinator.
var (
	// ErrNotServed is the error for control processes without coordination.
	ErrNotServed = errors.New("coordination is not served")
	// ErrUnavailable is the error for a call without a clear answer, which may have taken effect. The call is made again.
	ErrUnavailable = errors.New("no clear answer")
	// ErrLockHeld is the error for a lock that another caller holds.
	ErrLockHeld = errors.New("another caller holds the lock")
	// ErrLockLost is the error for the renewal of a lock that is no longer held.
	ErrLockLost = errors.New("the lock is lost")
	// ErrRevisionMismatch is the error for a put whose key has another revision than it must have.
	ErrRevisionMismatch = errors.New("the key has another revision")
)

// Coordinator is a client of locks, numbers, keys and watches. Each method makes one call.
type Coordinator interface {
	// AcquireLock takes a lock for a time and returns its fencing token, or ErrLockHeld.
	AcquireLock(ctx context.Context, lock, holder string, hold time.Duration) (token uint64, err error)
	// RenewLock keeps a lock for a time from now on, or returns ErrLockLost.
	RenewLock(ctx context.Context, lock, holder string, token uint64, hold time.Duration) error
	// ReleaseLock gives a lock back.
	ReleaseLock(ctx context.Context, lock, holder string, token uint64) error
	// NextNumber returns a number above all that were returned for the name.
	NextNumber(ctx context.Context, name string) (uint64, error)
	// PutKey replaces a key that has a revision, 0 if it does not exist, and returns its new one, or ErrRevisionMismatch.
	PutKey(ctx context.Context, key, value string, ifRevision uint64) (revision uint64, err error)
	// ReadKey returns a key's value and revision, which is 0 for a key that does not exist.
	ReadKey(ctx context.Context, key string) (Change, error)
	// WatchGroup returns the changes of a group of keys after a revision, once there are any or the wait has passed.
	WatchGroup(ctx context.Context, group string, after uint64, wait time.Duration) (Changes, error)
}

// Change is a put of a key.
type Change struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Changes are all puts in a group above the revision that was asked for and up to Revision.
type Changes struct {
	Events   []Change `json:"events"`
	Revision uint64   `json:"revision"`
}
