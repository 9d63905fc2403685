// Package replica holds the state that the brokers of a fleet replicate: facts, which are the verdicts of each broker on
// servers from its own calls. The state only gives hints: a lost or late fact delays the reaction to a failed server, but
// breaks no invariant.
//
// The state is a map of registers by origin and subject. The origin is the broker that recorded the fact; only the origin
// writes its registers. The subject is the server. Of two versions of a register, merging keeps the greater one in a total
// order (by stamp, then verdict, then the earlier expiry), so that merging is commutative, associative and idempotent: the
// state is a state-based CRDT (Shapiro, Preguiça, Baquero and Zawirski 2011). Copies that have received the same facts in
// any order are equal. To repair differences, copies exchange summaries, which have one hash for each origin, and send
// each other the facts of the origins that differ (anti-entropy). Stamps are a hybrid logical clock (Kulkarni and others
// 2014).
//
// Two brokers that disagree about a server have two registers; Store.PeerEjections combines them.
//
// The package does no I/O and reads no clock. Package replication exchanges the facts among members. The simulator uses
// this package with its own model of the gossip.
package replica
