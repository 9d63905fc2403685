// Package replication keeps a broker's copy of the replicated facts about servers (package replica) in step with the
// other members' copies. It records what the broker's own calls have shown, broadcasts it by gossip, merges what other
// members send, repairs differences by comparing summaries (anti-entropy), and applies what the facts of others amount
// to. It writes snapshots, so that a process that restarts does not begin without facts.
//
// Invariants:
//   - One goroutine (Service.run) owns the store. memberlist's goroutines hand it events through a bounded queue; what a
//     full queue drops is counted, and found by the next comparison.
//   - All that is sent is bounded by a rate, all that is received by a size.
//   - A snapshot of another member, format or build, a damaged or an outdated one is not loaded, and put aside.
//
// The sidecar program starts it where the operator's file enables replication. The merge rule and the rules of advice
// are package replica's; dissemination and push-pull are memberlist's (package gossip).
package replication
