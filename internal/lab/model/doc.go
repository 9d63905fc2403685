// Package model is the laboratory's model of everything around the broker: clients, servers in tiers, the
// network, discovery, and the faults that a scenario injects.
//
// The model contains neither brokers nor sockets. The engines provide both through the interfaces Brokers
// and Sockets: package sim in virtual time, package real on sockets, and package emulation on an emulated
// network. An engine creates a World, starts it, runs the actions of its clock in order, and takes the
// Result at the end.
//
// A client's operation takes one or more requests to an instance; an instance sends attempts to servers for
// each of them; servers send requests of their own to the next tier.
//
// Invariants: a World belongs to the goroutine of its clock. Each component draws from a random stream of
// its own, and the order of the draws in a stream is fixed, so that a scenario and a seed define a run, and
// one more server or instance does not change what the others draw. Every request that an instance accepts
// is reported to the checker of package rules.
package model
