// Package coordination implements the replicated state machine of the coordination service. The service offers locks with
// fencing tokens, numbers (counters), cells (keys with revisions) and watches on groups of cells.
//
// # State machine
//
// A State is immutable. State.Execute returns the state after a Command and the result for the caller, or the reason for which
// the command is rejected. The outcome depends only on the state and the command, so all members of the chain reach the same
// state: the head executes a command to decide whether to accept it, and every member executes it again from the log.
//
// # Time
//
// The state does not depend on a clock. A hold is the time for which a caller holds a lock. The head keeps the ends of all
// holds in a HoldTimers, which is volatile. When a command takes a lock over from an expired hold, the head puts the token of
// that hold into the command (Command.ExpiredToken). If the lock was taken again before the command reaches its place in the
// log, the token no longer matches, and all members reject the command. In the same way, a Retention determines at the head
// which part of the history is old enough to be dropped.
//
// A new head does not know when holds end. It assumes that every hold was renewed when its view was installed. A previous head
// cannot have acknowledged a renewal after that, as it would have needed a confirmation of its older view by a majority.
//
// # Invariants
//
//   - A fencing token is higher than all tokens that were issued before, for any lock.
//   - The revisions of a group and the values of a number increase by one, and none is issued twice.
//   - A repeated put gets the revision of the first one, as long as the history contains the put or its value is current.
//   - The history of a group has every put above the group's floor.
//
// # Files
//
//   - state.go has the state and command.go the commands.
//   - locks.go, numbers.go and cells.go have the operations on the three tables.
//   - history.go has the history that watches read.
//   - hold_timers.go and retention.go have the volatile timers of a head.
//   - encoding.go and encoding_validation.go have the stored form.
//   - head.go evaluates commands at the head of the chain.
//   - watch_table.go serves watches at each member.
//   - recent_calls.go detects duplicate deliveries of calls.
//
// internal/controlplane and the simulation in internal/lab/coresim use the state as a part of the value that the chain
// replicates. docs/COORDINATION.md has the design.
package coordination
