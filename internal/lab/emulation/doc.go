// Package emulation plays a scenario with the complete broker program in virtual time.
//
// Each broker is an http1.Server with its decision core, its discovery client and its handover. It runs on
// an emulated network (package netem) in this process, together with the laboratory's servers, clients,
// discoveries and checker, which package real also plays on real sockets. Time is that of a
// testing/synctest bubble. It advances only when all goroutines wait, so that a busy processor delays
// nothing.
//
// The package is the engine "whole" of the command line and of experiments. It does not play the gossip
// between brokers, which needs real sockets. A run reports busy loops, and the goroutines, connections and
// bytes that are not released when it ends.
package emulation
