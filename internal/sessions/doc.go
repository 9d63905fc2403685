// Package sessions is the replicated table of endpoint sessions: the last heartbeat of every endpoint, how far the
// endpoint is in its life cycle, and what the placement has ordered of it since that heartbeat.
//
// The package owns the table, the rules by which two replicas of it merge, and the digests by which they are compared.
// It does no input or output, reads no clock and starts no goroutine: a caller passes the time in, as the duration on a
// session clock of its own, and a Table is confined to one goroutine. It decides nothing about placement or routing.
//
// # Invariants
//
//   - The state of a session only moves forward (Ready, Draining, Departed), whatever the order in which heartbeats and
//     peers' records arrive. Expired is the one exception: a session whose TTL has run out is renewed by the next heartbeat.
//   - Table.Merge is commutative, associative and idempotent: replicas that have received the same records agree.
//   - A departed session is kept for a retention time, so that a late heartbeat or a peer's older record does not bring it
//     back.
//   - Table.ModifyIndex rises with every change that a subscriber has to see, and with no other.
//   - The table holds at most 16384 sessions; a session beyond that is not stored.
//
// # Callers
//
// The control process (internal/controlplane) owns the one table of a process. The proxies' routing (internal/routing)
// reads the Endpoint records that a stream of updates brings it.
//
// # Sources
//
// Sessions with a TTL, and the modify index by which a reader asks for what has changed, are those of Consul
// (developer.hashicorp.com/consul/docs/dynamic-app-config/sessions). The comparison of replicas by a tree of range
// digests is the Merkle-tree anti-entropy of Dynamo (DeCandia et al. 2007, section 4.7). How the table is used is described
// in docs/SYSTEM.md.
package sessions
