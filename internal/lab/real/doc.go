// Package real is the engine that plays a scenario on real sockets: stand-in servers and a stand-in
// discovery on loopback that speak the platform's protocol, and brokers that are processes of their own.
//
// The model (package model) draws the behavior of clients, servers and faults. This package carries the
// requests over HTTP, applies the faults to connections and processes, and reports what it observes to the
// checker (package rules). PlayOn plays on any Environment: the host's sockets here, or the emulated
// network of package emulation. The demonstration, the benchmarks and tests also use Site, Server and
// Discovery on their own.
//
// Invariants: the state of a run belongs to the goroutine of its clock, and other goroutines post actions
// to it. A run leaves no process, listener or goroutine behind, also when it fails. Clients send at the
// times that the model schedules, so slow answers do not lower the offered load.
package real
