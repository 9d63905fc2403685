package client

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of the operations. Test for them with errors.Is.
var (
	// ErrLockHeld means that another holder has the lock.
	ErrLockHeld = errors.New("another holder has the lock")
	// ErrLockLost means that the caller does not hold the lock, or no longer does.
	ErrLockLost = errors.New("the lock is lost")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("the key does not exist")
	// ErrHistoryGone means that events of a watch were missed. Read the keys again, then go on with the watch.
	ErrHistoryGone = errors.New("events of the watch are no longer kept")
	// ErrUnavailable means that the service gave no answer, and that the call did not take effect and never will.
	ErrUnavailable = errors.New("the service is not available; nothing was done")
	// ErrOutcomeUnknown means that the call may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("no clear answer; the outcome is unknown")
)

// ConflictError is the answer to a conditional put whose key has another revision than the one that was required.
type ConflictError struct {
	Key      string
	Revision uint64 // present revision of the key, 0 if it does not exist
	// OutcomeUnknown is true if an earlier attempt of the same put got no clear answer: it may have taken effect before
	// the key got its present revision. errors.Is then finds ErrOutcomeUnknown too.
	OutcomeUnknown bool
}

// Error names the key and its revision.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("key %s has revision %d", e.Key, e.Revision)
	if e.OutcomeUnknown {
		text += "; an earlier attempt may have taken effect"
	}
	return text
}

// Is reports whether the target is ErrOutcomeUnknown and an earlier attempt got no clear answer.
func (e *ConflictError) Is(target error) bool {
	return e.OutcomeUnknown && target == ErrOutcomeUnknown
}

// StatusError is an answer that the operation does not have, such as 400 for a malformed call. Repeating the call would
// not help.
type StatusError struct {
	Operation string
	Status    int
	Text      string // beginning of the body
}

// Error names the operation and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: unexpected status %d: %s", e.Operation, e.Status, e.Text)
}

// callError is the end of a call without a final answer.
type callError struct {
	operation    string
	kind         error // ErrUnavailable or ErrOutcomeUnknown
	contextError error // why the call was not continued, nil if no context ended it
	lastError    error // last failed attempt, nil if there was none
}

// Error gives the operation, what is known of the outcome, and the last failure.
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

// Unwrap gives the kind, and the context's error if there is one.
func (e *callError) Unwrap() []error {
	if e.contextError == nil {
		return []error{e.kind}
	}
	return []error{e.kind, e.contextError}
}
