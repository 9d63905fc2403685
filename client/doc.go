// Package client calls the coordination service of `dykering control`: locks with fencing tokens, elections, numbers that
// rise, keys with revisions, and watches. Programs embed it; it imports nothing of dykering itself.
//
// A Client is given the control_plane addresses of all control processes. It calls one of them, and another one after a
// failure, a status of 5xx or 429, or a time-out, with a growing random pause in between, until the call's context or
// Options.CallTimeout ends. An address that answers with Retry-After is not asked again before that time, unless no
// address is left: then the call waits.
//
// # Errors
//
// Two errors say what is known of a call that got no final answer. With ErrUnavailable nothing was done, and nothing will
// be. With ErrOutcomeUnknown an attempt may have taken effect, or may still do so. All operations may be repeated after
// either; a put is repeated safely with the same value.
//
// # Locks
//
// The holder of a lock relies on it until the hold has passed since it sent its last good call, by its own steady clock.
// Lock.Lost is closed at that time at the latest, less a margin of a twentieth of the hold. A renewal that is answered
// after that counts for nothing. Locks are renewed in the background at a third of the hold.
//
// No lock protects against a holder that sleeps past its time: a paused process finds out late. So a resource that matters
// must be given Lock.Token with each change, and must refuse a token that is below one that it has seen. Where it cannot,
// check Lock.Held immediately before each step.
//
// # Values
//
// The service recognises a put that is sent again by its value. Give each put of a key a value of its own, for instance by
// a random part.
package client
