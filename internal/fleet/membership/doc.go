// Package membership holds a broker's view of the fleet: which brokers are members, and whether each is alive, suspect,
// dead or has left.
//
// The view is a state machine. Its inputs are observations, which package gossip makes of what hashicorp/memberlist
// reports, and the time, which the caller passes in. It does no I/O, starts no goroutine and reads no clock, so that the
// simulator can run it in virtual time and tests can drive it event by event. It neither detects failures nor
// disseminates them: memberlist does both, by SWIM (Das, Gupta and Motivala 2002) with the suspicion mechanism of
// Lifeguard (Dadgar, Phillips and Currey 2018).
//
// The package decides what memberlist does not: whether an observation changes the view, the reason for a change, when a
// departed member is removed, how many members the view holds, and the digest by which two brokers detect that their
// views agree.
//
// Invariants:
//   - An observation with a lower incarnation changes nothing, unless its process started later.
//   - The number of a view rises by one with each change.
//   - A view never removes the broker itself, and holds at most Limits.MaxMembers members.
//   - Two views with the same live members and incarnations have the same digest.
package membership
