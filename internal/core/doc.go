// Package core is the part of the sidecar that no protocol changes: calls from their arrival to their final answer, the
// event loop that runs the decisions, the endpoints and the connections to them, the lifecycle, and the budgets of
// memory and sockets.
//
// # What it owns
//
// A Loop owns the decision.Balancer and all state beside it: the calls, the table of endpoints, the pool of idle
// connections, and which discovery is followed. One goroutine runs its events; the decisions are the Balancer's, and
// the Loop is the Balancer's Host. Lifecycle, Memory and Buffers are shared by goroutines and lock for themselves.
//
// # Invariants
//
//   - State of the Loop is read and written by its goroutine alone. Other goroutines Post events or query.
//   - The Loop's goroutine never blocks: not on a front (Call.Answered has room for the one answer), not on an upstream
//     (each attempt has a goroutine of its own), not on discovery.
//   - Each call gets exactly one Answer, or none if it was abandoned first; an answer that nobody takes is discarded.
//   - There are never more connections to endpoints than Limits.MaxOutbound, those being made counted.
//   - A list that is older than the one that the Balancer has is never applied, unless discovery was changed or asked
//     anew.
//
// # What it is not for
//
// It knows no protocol and makes no decisions. A front (internal/http1) makes Calls and delivers Answers; an Upstream
// (internal/http1) carries out attempts; a Discovery (internal/discovery) follows the endpoint list.
//
// # Callers
//
// internal/http1 makes and drives the Loop; internal/fleet/replication and internal/fleet/budgets exchange evidence and
// quotas with it; internal/discovery reports lists to it.
//
// # Source
//
// docs/DESIGN-NOTES.md, "A core without a protocol", with the variants that were rejected; docs/HANDOVER.md for what a
// process tells its successor.
package core
