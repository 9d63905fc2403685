// Package wire implements the text protocol of the operators' simulator. It reads batches of events, delivers each event
// to the Balancer of the instance that it names, and writes the actions that the Balancers take.
//
// The package defines the encoding (names of events and actions, order of fields, microseconds) and holds the instances
// of one process. All decisions are made by package decision. The package uses no sockets.
//
// Invariants:
//
//   - Each batch is answered by one reply that ends in "eor". Its actions are in the order in which they were taken.
//   - Malformed input ends Run with an error that names line and field.
//   - Unknown events and settings are ignored, with one notice for each name.
//   - A panic of one instance's Balancer is reported as a crash of that instance. The other instances continue.
//
// The only caller is cmd/dykering-sim. The simulator defines the protocol, so the names of events, actions and fields must
// not change.
package wire
