// Package protocol defines the typed messages that the processes of the system send to one another, apart from those of
// chain replication, which are in package chain.
//
// Three kinds of process use it: control processes (dykering control), proxies (dykering proxy) and the operator's
// commands (dykering status, dykering explain). Package peerlink encodes the messages with encoding/gob and carries them
// in frames over TCP. A connection serves one purpose, which its first message determines:
//
//   - Subscribe: a proxy follows the stream of updates of a control process (stream.go, demand.go).
//   - StatusRequest, ExplainRequest, LockExplainRequest: an operator's command makes one call (status.go, explain.go,
//     coordination.go).
//   - any other: a control process sends its messages to a peer; the answers come on the peer's own connection.
//
// The package owns the form of the messages and the names under which gob knows their types (registry.go). It has no
// logic, no input or output, and no state.
//
// Invariants:
//
//   - Builds of different age talk to each other during a rolling upgrade. A type may be renamed, since it is registered
//     under its historical name; the name of an exported field may not, since gob matches fields by name and drops without
//     an error a value that the receiver has no field for. Fields are only ever added.
//   - Every message may be lost, since a full queue of package peerlink drops it. The comment of each message says what is
//     lost with it, and what replaces it.
//   - All times are ages or durations: the processes share no clock.
package protocol
