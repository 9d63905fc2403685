package client

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of the operations. Compare them with errors.Is.
var (
	// ErrLockHeld means that another holder has the lock.
	ErrLockHeld = errors.New("another holder has the lock")
	// ErrLockLost means that the caller does not hold the lock, or no longer holds it.
	ErrLockLost = errors.New("the lock is lost")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("the key does not exist")
	// ErrHistoryGone means that events of a watch were missed. Read the keys again, then continue the watch.
	ErrHistoryGone = errors.New("events of the watch are no longer kept")
	// ErrUnavailable means that the service did not answer, and that the call was not executed and never will be.
	ErrUnavailable = errors.New("the service is not available; nothing was done")
	// ErrOutcomeUnknown means that the call may have been executed, or may be executed later.
	ErrOutcomeUnknown = errors.New("no clear answer; the outcome is unknown")
)

// ConflictError is the error of a conditional put if the key has another revision than the required one.
type ConflictError struct {
	Key      string
	Revision uint64 // current revision of the key, 0 if it does not exist
	// OutcomeUnknown is true if an earlier attempt of the same put had an unknown outcome: it may have been executed before
	// the key got its current revision. The error then also matches ErrOutcomeUnknown with errors.Is.
	OutcomeUnknown bool
}

// Error returns a message with the key and its revision.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("key %s has revision %d", e.Key, e.Revision)
	if e.OutcomeUnknown {
		text += "; an earlier attempt may have taken effect"
	}
	return text
}

// Is reports whether the target is ErrOutcomeUnknown and an earlier attempt had an unknown outcome.
func (e *ConflictError) Is(target error) bool {
	return e.OutcomeUnknown && target == ErrOutcomeUnknown
}

// StatusError is a response with a status that the operation does not define, such as 400 for a malformed call. Retrying the
// call does not help.
type StatusError struct {
	Operation string
	Status    int
	Text      string // start of the body
}

// Error returns a message with the operation, the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: unexpected status %d: %s", e.Operation, e.Status, e.Text)
}

// callError is the error of a call without a final response.
type callError struct {
	operation    string
	kind         error // ErrUnavailable or ErrOutcomeUnknown
	contextError error // error of the context that ended the call, or nil
	lastError    error // error of the last attempt, or nil
}

// Error returns a message with the operation, the kind, and the error of the last attempt.
func (e *callError) Error() string {
	text := e.operation + ": " + e.kind.Error()
	if e.contextError != nil {
		text += " (" + e.contextError.Error() + ")"
	}
	if e.lastError != nil {
		text += "; last attempt: " + e.lastError.Error()
	}
	return text
}

// Unwrap returns the kind, and the context's error if it is set.
func (e *callError) Unwrap() []error {
	if e.contextError == nil {
		return []error{e.kind}
	}
	return []error{e.kind, e.contextError}
}
