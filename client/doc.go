// Package client calls the coordination service of `dykering control`. The service provides locks with fencing tokens,
// elections, increasing numbers, keys with revisions, and watches. Other programs embed this package; it imports no other
// package of dykering.
//
// A Client is given the control_plane addresses of all control processes. After a connection error, a status of 5xx or 429,
// or a time-out, it retries the call at another address after a random pause with exponential backoff, until the call's
// context or Options.CallTimeout ends. It does not use an address that sent Retry-After before that time has passed. If no
// other address is available, the call waits.
//
// # Errors
//
// Two errors describe calls without a final response. ErrUnavailable means that the call was not executed and never will be.
// ErrOutcomeUnknown means that an attempt may have been executed, or may be executed later. All operations may be retried
// after both errors; a put must be retried with the same value.
//
// # Locks
//
// A holder may rely on a lock until the hold has passed since it sent its last successful call, by its own monotonic clock.
// Lock.Lost is closed a twentieth of the hold before that time, or earlier. A renewal whose response arrives after that is
// ignored. Locks are renewed in the background after a third of the hold.
//
// A lock alone does not protect against a holder that was paused: the process may continue after its hold has passed, before
// it detects that the lock is lost. Therefore send Lock.Token with each change of a protected resource, and let the resource
// reject a token that is lower than one it has seen. If the resource cannot check tokens, check Lock.Held immediately before
// each step.
//
// # Values
//
// The service recognises a repeated put by its value. Use a unique value for each put of a key, for instance by adding a
// random part.
package client
