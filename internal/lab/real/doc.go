// Package real is the engine that plays a scenario on real sockets: stand-in servers and a stand-in
// discovery on loopback that speak the platform's protocol, and brokers that are processes of their own.
//
// The model (package model) draws what clients, servers and faults do; this package carries requests over
// HTTP, applies faults to connections and processes, and reports to the checker (package rules) what it
// observes. PlayOn plays on any Environment: the host's sockets here, or the emulated network of package
// emulation. Site, Server and Discovery are also used by themselves, by the demonstration, the benchmarks
// and tests.
//
// Invariants: the state of a run belongs to the goroutine of its clock, and other goroutines post actions
// to it. A run leaves no process, listener or goroutine behind, also when it fails. Clients keep to the
// schedule of the model, so that slow answers do not lower the load that is offered.
package real
