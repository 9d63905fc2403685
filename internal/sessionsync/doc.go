// Package sessionsync is the state machine of one replica of the table of sessions: how the control processes exchange what
// endpoints have told them, what is on disk, and when an endpoint that leaves is acknowledged.
//
// # Contract
//
// A Replica does no input or output, reads no clock and starts no goroutine. Its inputs are heartbeats and deregistrations
// (Heartbeat, Deregister), messages of peers (Receive), the passing of time (Tick), the end of a batch of inputs (Flush) and
// the end of a write to disk (Stored); each returns an Output with messages to send, calls to answer and what to write. Times
// are durations since a start that the caller chooses and never decrease. Core is how the caller sees the other members at the
// time of the input. A Replica is not safe for concurrent use.
//
// # Replication
//
// Changes are replicated in three ways: each one is broadcast by the member that has received it (broadcast.go); a member that
// starts, or comes into a view, asks its peers for all sessions before it serves streams (fullsync.go); and what was lost on the
// way is found by comparing digests of ranges with a peer drawn at random (antientropy.go).
//
// # Departures
//
// A notice that an endpoint drains or deregisters is acknowledged once every voter of the view has it on disk, or a majority
// after Config.DepartureTimeout (departures.go). The endpoint may then stop serving: no member that serves streams may show it
// as ready from then on, whatever restarts.
//
// # Invariants
//
//   - A departure is acknowledged only by what is on disk, the own one and those of the peers.
//   - A peer's request to store a departure is acknowledged only if the table has it, and once that is on disk.
//   - A replica without a quorum accepts nothing from endpoints, and its session clock stands still.
//   - Two replicas that exchange messages without loss become equal, whatever the order of what they have received.
package sessionsync
