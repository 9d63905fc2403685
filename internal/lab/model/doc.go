// Package model is the laboratory's model of the broker's environment: clients, servers in tiers, the
// network, discovery, and the faults that a scenario injects.
//
// The model contains neither brokers nor sockets. The engines provide both through the interfaces Brokers
// and Sockets: package sim in virtual time, package real on sockets, and package emulation on an emulated
// network. An engine creates a World, starts it, runs the actions of its clock in order, and takes the
// Result at the end.
//
// A client sends one or more requests for an operation to an instance of the broker. The instance sends one
// or more attempts for each request to servers. A server that has to call the next tier sends requests to an
// instance of that tier.
//
// Invariants: a World belongs to the goroutine of its clock. Each component has its own random stream, and
// the order of the draws from a stream is fixed, so a scenario and a seed define a run, and an additional
// server or instance does not change the draws of the others. Every request that an instance accepts is
// reported to the checker of package rules.
package model
