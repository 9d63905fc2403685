// Package replication synchronizes a broker's copy of the replicated facts about servers (package replica) with the
// copies of other members. It records the evidence of the broker's own calls as facts, broadcasts them by gossip, merges
// the facts of other members, and repairs differences by comparing summaries (anti-entropy). It applies the peer ejections
// that follow from the facts of other members. It saves snapshots, so that a restarted process begins with recent facts.
//
// Invariants:
//   - One goroutine (Service.run) owns the store. memberlist's goroutines send it events through a bounded queue. Events
//     that a full queue drops are counted, and the next comparison repairs the difference.
//   - A rate limit bounds the bytes sent, and a size limit bounds each received message.
//   - A snapshot that is damaged, outdated, or of another member, format or build is not loaded; its file is renamed.
//
// The sidecar program starts the service if the operator's file enables replication. Package replica implements the
// merging and the rules for peer ejections; memberlist (package gossip) implements dissemination and push-pull.
package replication
