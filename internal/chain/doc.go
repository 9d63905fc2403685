// Package chain replicates a value over the members of the core by chain replication, with a view of the members that
// a majority agrees on. It is a state machine: events in, records to store and messages to send out; it does no input
// or output, reads no clock and starts no goroutine.
//
// Writes enter at the head of the chain, are stored by each member in turn and are committed by the tail. When a member
// cannot be reached, comes back or is replaced, a member proposes the next view by single-decree Paxos among the voters
// of the present one. A voter that has promised is sealed: it takes no further writes of its view. As each chain holds a
// majority of its view's voters, the voters that promise include a member of the chain, and so all that was committed.
// The value agreed on is the next view together with the state that it begins with.
package chain
