// Package core is the protocol-independent part of the sidecar. It tracks each call from its arrival to its final answer,
// runs the event loop that drives the load-balancing decisions, maintains the endpoint table and the connection pool,
// and holds the lifecycle and the memory and socket budgets of the process.
//
// # Ownership
//
// A Loop owns the decision.Balancer and all state around it: the calls, the endpoint table, the pool of idle connections
// and the discovery client that it follows. One goroutine runs the events of the Loop. The Balancer makes the decisions,
// and the Loop carries them out as the Balancer's Host. Lifecycle, Memory and Buffers are shared between goroutines and
// synchronize access themselves.
//
// # Invariants
//
//   - Only the Loop's goroutine reads and writes the state of the Loop. Other goroutines post events or run queries.
//   - The Loop's goroutine never blocks. It does not wait for a frontend, because Call.Answered has room for the single
//     answer; nor for an upstream, because each attempt runs in its own goroutine; nor for discovery.
//   - Each call gets exactly one Answer, or none if its client abandoned it first. An answer that no frontend receives is
//     discarded.
//   - The number of connections to endpoints, including those being established, never exceeds Limits.MaxOutbound.
//   - A list that is older than the Balancer's current list is never applied, unless the Loop has switched to another
//     discovery address or has requested a resync.
//
// # Scope
//
// The package implements no protocol and makes no load-balancing decisions. A frontend (internal/http1) creates Calls and
// delivers Answers, an Upstream (internal/http1) carries out attempts, and a Discovery (internal/discovery) follows the
// endpoint list.
//
// # Callers
//
// internal/http1 creates and drives the Loop. internal/fleet/replication exchanges ejection evidence with it, and
// internal/fleet/budgets sets its quota shares. internal/discovery reports endpoint lists to it.
//
// # Further reading
//
// docs/DESIGN-NOTES.md, "A core without a protocol", describes the rejected alternatives. docs/HANDOVER.md describes what
// a process passes to its successor.
package core
