// Package systemdemo demonstrates the whole system on loopback and prints each step as a line of text. It serves requests, loads a
// model that a client asks for, and checks a lock, a number and a watch while the head of the replication chain is killed.
//
// Package localsystem provides the processes. The demo calls locks, numbers, keys and watches through the interface Coordinator,
// which HTTPCoordinator implements. Control processes without a coordination service answer 404, which the demo reports. Demo.Run
// returns an error if a guarantee was violated or a step timed out.
package systemdemo
