// Package errkind defines the closed list of error kinds of the system, and the table from a kind to the HTTP status that
// answers it.
//
// A kind is assigned where an error arises, and kept up to the edge of the process: as Error in Go code (found behind
// wrapping errors with KindOf or errors.As), as a number in a protocol.Reply between processes, and as status and headers
// of an HTTP response. Decisions such as whether a request may be retried are made by kind, never by text.
//
// Callers are fleetconfig (validation), controlplane (the API of operators and endpoints) and dataplane (the responses to
// clients).
//
// Invariants:
//
//   - Each kind has an answer with an error status and a text.
//   - NotExecuted is set only for kinds where the request provably was not and will not be executed: a client may then
//     repeat any request. Its status is 503, or 412 or 429 for calls of the coordination service, which promise the same.
//   - The numbers of the kinds are sent between builds of different age. New kinds are added at the end; none is removed or
//     moved.
//
// To add a kind: add a constant before numKinds, and its row in answers.
package errkind
