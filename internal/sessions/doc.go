// Package sessions implements the replicated table of endpoint sessions. A session holds the last heartbeat of an endpoint,
// the state of the endpoint in its life cycle, and the changes that orders of the placement have made since that heartbeat.
//
// The package owns the table, the rules by which two replicas of the table are merged, and the digests by which replicas are
// compared. It does no I/O, reads no clock and starts no goroutine: the caller passes the time, as a duration on its own
// session clock. A Table is not safe for concurrent use. Placement and routing are decided in other packages.
//
// # Invariants
//
//   - The state of a session only moves forward (Ready, Draining, Departed), independent of the order in which heartbeats
//     and records of peers arrive. The only exception is Expired: the next heartbeat renews a session whose TTL has expired.
//   - Table.Merge is commutative, associative and idempotent: replicas that have received the same records agree.
//   - A departed session is kept for a retention time, so that a late heartbeat or an older record of a peer does not make
//     the endpoint ready again.
//   - Table.ModifyIndex rises with every change that is relevant to subscribers, and with no other change.
//   - The table holds at most 16384 sessions. A further session is not stored.
//
// # Callers
//
// Each control process has one table, which package sessionsync maintains and package controlplane reads. The proxies (package
// routing) use the Endpoint records that the control processes send them in a stream of updates.
//
// # Sources
//
// Sessions with a TTL, and the modify index by which a reader requests the changes since its last read, follow Consul
// (developer.hashicorp.com/consul/docs/dynamic-app-config/sessions). The comparison of replicas by a tree of range digests
// follows the Merkle-tree anti-entropy of Dynamo (DeCandia et al. 2007, section 4.7). Further reading: docs/SYSTEM.md.
package sessions
