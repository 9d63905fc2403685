// Package sessionsync implements the state machine of one replica of the table of endpoint sessions. It decides how the
// control processes exchange the reports of endpoints, what they store on disk, and when the departure of an endpoint is
// acknowledged.
//
// # Contract
//
// A Replica does no I/O, reads no clock and starts no goroutine. Its inputs are heartbeats and deregistrations
// (Heartbeat, Deregister), messages of peers (Receive), the passing of time (Tick), the end of a batch of inputs (Flush) and
// the end of a write to disk (SnapshotStored). Each input returns an Output with messages to send, calls to answer and a
// snapshot to write. Times are durations since a start that the caller chooses, and never decrease. Core is the caller's view
// of the other members at the time of the input. A Replica is not safe for concurrent use.
//
// # Replication
//
// Changes are replicated in three ways:
//
//   - The member that receives a change from an endpoint broadcasts it (broadcast.go).
//   - A member that starts, or that joins a view, asks its peers for all sessions before it serves streams (fullsync.go).
//   - Each member periodically compares digests of ranges with a random peer, which finds changes whose broadcast was lost
//     (antientropy.go).
//
// # Departures
//
// The notice of an endpoint that it drains or deregisters is acknowledged once every voter of the view has it on disk, or
// once a majority has it on disk after Config.DepartureTimeout (departures.go). The endpoint may then stop serving. From then
// on no member that serves streams may show it as ready, whichever processes restart.
//
// # Invariants
//
//   - A departure is acknowledged only when it is on disk, at this member and at its peers.
//   - A peer's request to store a departure is acknowledged only if the table has the departure, and once it is on disk.
//   - A replica without a quorum accepts nothing from endpoints, and its session clock does not advance.
//   - Two replicas that exchange messages without loss become equal, in whatever order they have received changes.
package sessionsync
