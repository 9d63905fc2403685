// Package coordination is the replicated state of the coordination service: locks with fencing tokens, numbers, cells (keys
// with revisions) and the history from which watches are served.
//
// # State machine
//
// A State is immutable. State.Execute returns the state after a Command, what the caller is answered, or why the command is
// rejected. It depends on its arguments alone, so that all replicas of the chain come to the same state: the head executes a
// command to decide on it, and every member executes it again from its log.
//
// # Time
//
// No clock enters the state. The head keeps in a HoldTimers, which is volatile, when the holds of locks end, and names a hold
// that it knows to be over in the command that replaces it (Command.ExpiredToken). Members that have another state at that
// point of the log, because the hold was taken again in between, reject the command by that token. A Retention tells the head
// in the same way which part of the history is old enough to be dropped.
//
// A head that has just taken over knows no times. It assumes that every hold was renewed at the moment at which its view was
// installed: its predecessor cannot have acknowledged a renewal later, as it needed a majority of that older view.
//
// # Invariants
//
//   - A fencing token is higher than all that were handed out before, under any name.
//   - The revisions of a group and the values of a number rise by one, and are never handed out twice.
//   - A put that is repeated while the history has it, or while its value is current, gets its first revision.
//   - The history of a group has every put above its floor.
//
// # Files
//
// state.go has the state, command.go the commands, locks.go, numbers.go and cells.go the three tables, history.go what watches
// read, hold_timers.go and retention.go the volatile times of a head, encoding.go the stored form.
//
// internal/controlplane runs it as a part of the value that the chain replicates; docs/COORDINATION.md has the design.
package coordination
