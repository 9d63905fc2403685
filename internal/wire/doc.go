// Package wire speaks the operators' simulator's text protocol: it reads batches of events, hands each to the Balancer of
// the instance that it concerns, and writes the actions that those take.
//
// It owns the protocol's form (names of events and actions, order of fields, microseconds) and the instances of one
// process. It makes no decisions, which are internal/decision's, and knows no sockets.
//
// Invariants: a batch is answered by one reply that ends in "eor", in which the actions are in the order in which they
// were taken. Malformed input ends Run with an error that names line and field; unknown events and settings are noted once
// and passed over. A panic of one instance's Balancer is reported as its crash, and the others go on.
//
// Its only caller is cmd/dykering-sim. Source: the platform's page WIRE; all names are fixed.
package wire
