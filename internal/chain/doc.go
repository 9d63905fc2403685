// Package chain replicates one value over the members of the core by chain replication, under a membership (the view) that
// the members change by agreement. It also assigns the lease of a singleton role (the placement controller) to one member.
//
// # State machine
//
// A Node is a pure state machine. Its inputs are messages (Node.Receive), the passing of time (Node.Tick) and operations to
// append (Node.Propose); each input returns an Output with records to persist and messages to send. The package does no
// input or output, reads no clock and starts no goroutine. Times are durations since a start that the caller chooses and
// that is the same for all calls on one Node; they must never decrease. A Node is not safe for concurrent use.
//
// The caller persists Output.Records in order and sends Output.Messages only after all records of this and earlier outputs
// are on stable storage; the fields of Output state what is lost otherwise. Messages may be lost, duplicated, delayed or
// reordered by the network. They are not authenticated: members trust one another.
//
// PendingRequests stands beside a Node and keeps the client writes and reads that wait for an answer.
//
// # Replication
//
// Writes enter at the head, each member of the chain persists an entry before it forwards it to its successor, and an entry
// is committed once the tail has persisted it. Reads are answered by the tail, from committed state. See R. van Renesse and
// F. B. Schneider, "Chain Replication for Supporting High Throughput and Availability" (OSDI 2004).
//
// # Reconfiguration
//
// A view names the voters, the chain (a subset of the voters, at least a majority of them) and the lease holder. When a
// member fails, returns, joins or leaves, a voter proposes the next view by single-decree Paxos among the voters of the
// present view: one decree for each view number. See L. Lamport, "Paxos Made Simple" (2001).
//
// The decree's value is a Proposal: the next view together with the state that it starts from. A voter that has promised is
// sealed: it takes no more writes in its view, as in CORFU (Balakrishnan et al., NSDI 2012) and Vertical Paxos (Lamport,
// Malkhi and Zhou, PODC 2009). A chain holds a majority of its view's voters, so every majority of promises includes a
// member of the chain, which has all that was committed.
//
// # Invariants
//
//   - Members apply the same operations in the same order.
//   - A committed entry is on the disks of at least Config.MaxFailures+1 members (of all voters, if they are fewer).
//   - At most one proposal is chosen for each view number.
//   - View numbers and lease tokens never decrease.
//   - Two members never both hold the lease, provided that a holder stops acting within Config.LeaseDuration plus the slack
//     that Config.TakeoverDelay adds to it.
//
// The search in internal/lab/coresim checks them over drawn schedules of failures (docs/SYSTEM-SEARCH.md).
//
// # Files
//
// node.go has the state and the dispatch of inputs, replication.go and log.go the chain, paxos.go and reconfiguration.go the
// agreement on views, membership.go which view is wanted next, failuredetector.go the pings, lease.go the singleton role,
// storage.go the records, requests.go the waiting client requests.
//
// The types in messages.go, storage.go, view.go, log.go and paxos.go are encoded with encoding/gob, which writes the names of
// fields: those names are fixed, also where another name would be clearer.
//
// internal/controlplane runs a Node in each control process; internal/lab/coresim runs it in virtual time.
package chain
