// Package protocol defines the typed messages that the processes of the system send to one another. The messages of chain
// replication are in package chain.
//
// Three kinds of processes use it: control processes (dykering control), proxies (dykering proxy) and the operator's
// commands (dykering status, dykering explain). Package peerlink encodes the messages with encoding/gob and sends them
// in frames over TCP. The first message on a connection determines its purpose:
//
//   - Subscribe: a proxy receives the stream of updates of a control process (stream.go, demand.go).
//   - StatusRequest, ExplainRequest, LockExplainRequest: an operator's command makes one call (status.go, explain.go,
//     coordination.go).
//   - Any other message: a control process sends messages to a peer. The peer answers on a connection of its own.
//
// The package defines the fields of the messages and the names under which their types are registered with gob (registry.go).
// It has no logic and no state, and performs no input or output.
//
// Invariants:
//
//   - Builds of different versions communicate during a rolling upgrade. A type may be renamed, since it is registered under
//     its historical name. An exported field must not be renamed or removed, since gob matches fields by name and silently
//     drops a value if the receiver has no field for it. Fields may be added.
//   - Every message may be lost, since package peerlink drops messages when a queue is full. The comment of each message says
//     what its loss causes and what repairs it.
//   - All times are ages or durations, since the processes share no clock.
package protocol
