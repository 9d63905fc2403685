// Package replica holds the state that the brokers of a fleet replicate: the verdict of each broker on servers, by its own
// calls. The state is advice: a fact that is lost or late costs a moment of service and breaks no rule.
//
// The state is a map of registers by origin and subject. Only the origin writes a register. Two versions of a register
// join to the greater in a total order (stamp, then verdict, then the earlier end), so that merging is commutative,
// associative and idempotent: a state-based CRDT (Shapiro, Preguiça, Baquero and Zawirski 2011). Copies that have
// received the same facts in any order are equal. Copies compare summaries, one hash for each origin, and send each
// other what differs (anti-entropy). Stamps are a hybrid logical clock (Kulkarni and others 2014).
//
// Two brokers that disagree about a server have two registers; Store.Advise decides what follows.
//
// The package does no I/O and reads no clock. Package replication carries the facts; the laboratory uses this package
// with a gossip of its own.
package replica
