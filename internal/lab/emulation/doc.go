// Package emulation plays a scenario with the program that ships, in virtual time.
//
// Each broker is an http1.Server with its core, its discovery and its handover, on an emulated network
// (package netem) in this process, surrounded by the laboratory's servers, clients, discoveries and
// checker, which play on real sockets too (package real). Time is that of a testing/synctest bubble: it
// advances when all goroutines wait, so that nothing is late for want of a processor.
//
// It is the engine "whole" of the command line and of experiments. It does not play gossip between brokers,
// which needs real sockets. A run names the loops, goroutines, connections and bytes that are left when it
// ends.
package emulation
