// Package membership holds a broker's view of the fleet: which brokers are members, and whether each is alive, suspect,
// dead or has left.
//
// The view is a state machine. Its inputs are observations, which package gossip makes of what hashicorp/memberlist
// reports, and the time, which the caller passes in. It does no I/O, starts no goroutine and reads no clock, so that the
// laboratory runs it in virtual time and tests drive it event by event. It does not detect failures and does not
// disseminate anything: both are the protocol's (SWIM, Das, Gupta and Motivala 2002, with the suspicion of Lifeguard,
// Dadgar, Phillips and Currey 2018).
//
// It decides what memberlist does not: whether an observation is news, the reason of a change, when a departed member
// is forgotten, how many members are held, and what two brokers compare to know that they see the same fleet.
//
// Invariants:
//   - An observation of a lower incarnation changes nothing, unless it is of a process that started later.
//   - The number of a view rises by one with each change.
//   - The broker itself is never forgotten, and no more members are held than the limit.
//   - Two views with the same live members and incarnations have the same digest.
package membership
