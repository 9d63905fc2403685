// Package chain replicates one value over the members of the control plane by chain replication. The members agree on their
// own membership, called the view. The package also assigns the lease of a singleton role (the placement controller) to one
// member.
//
// # State machine
//
// A Node is a pure state machine. Its inputs are messages (Node.Receive), the passing of time (Node.Tick) and operations to
// append (Node.Propose). Each input returns an Output with records to persist and messages to send. The package does no
// input or output, reads no clock and starts no goroutine. Times are durations since an epoch that the caller chooses. The
// epoch is the same for all calls on one Node, and times must never decrease. A Node is not safe for concurrent use.
//
// The caller persists Output.Records in order. It sends Output.Messages only after all records of this output and of earlier
// outputs are on stable storage; the field comments of Output say which guarantees break otherwise. The network may lose,
// duplicate, delay or reorder messages. Messages are not authenticated: the members trust one another.
//
// PendingRequests keeps the client writes and reads that wait for an answer from a Node.
//
// # Replication
//
// Writes enter at the head. Each member of the chain persists an entry before it forwards the entry to its successor. An
// entry is committed once the tail has persisted it. The tail answers reads from its committed state. See R. van Renesse
// and F. B. Schneider, "Chain Replication for Supporting High Throughput and Availability" (OSDI 2004).
//
// # Reconfiguration
//
// A view names the voters, the chain (a majority or more of the voters) and the lease holder. When a member fails, returns,
// joins or leaves, a voter proposes the next view by single-decree Paxos among the voters of the current view, with one
// decree for each view number. See L. Lamport, "Paxos Made Simple" (2001).
//
// The value of a decree is a Proposal: the next view together with the state that the view starts from. A voter that has
// promised a proposal number is sealed: it accepts no more writes in its view, as in CORFU (Balakrishnan et al., NSDI 2012)
// and Vertical Paxos (Lamport, Malkhi and Zhou, PODC 2009). The chain has a majority of its view's voters, so every majority
// of promises includes a member of the chain, and each member of the chain has every committed entry.
//
// # Invariants
//
//   - Members apply the same operations in the same order.
//   - A committed entry is on the disks of at least Config.MaxFailures+1 members, or of all voters if there are fewer.
//   - At most one proposal is chosen for each view number.
//   - View numbers and lease tokens never decrease.
//   - Two members never hold the lease at the same time, provided that a holder stops acting within Config.TakeoverDelay
//     after the last confirmation of its view. Config.TakeoverDelay is Config.LeaseDuration plus some slack.
//
// The simulation in internal/lab/coresim checks these invariants under random schedules of failures. docs/SYSTEM-SEARCH.md
// describes it.
//
// # Files
//
//   - node.go has the state of a Node and the dispatch of inputs, status.go the queries about its state.
//   - replication.go and log.go replicate the log along the chain.
//   - paxos.go and reconfiguration.go agree on the next view; membership.go computes the view to propose.
//   - failuredetector.go sends and evaluates pings.
//   - lease.go has the lease of the singleton role.
//   - messages.go, view.go and storage.go have the messages, the view and the persistent records.
//   - requests.go has the waiting client requests.
//
// The types in messages.go, storage.go, view.go, log.go and paxos.go are encoded with encoding/gob, which writes field names.
// Their field names are therefore fixed, even where another name would be clearer.
//
// internal/controlplane runs a Node in each control process; internal/lab/coresim runs it in virtual time.
package chain
