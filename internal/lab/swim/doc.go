// Package swim simulates the fleet's gossip in virtual time, for fleets of 300 and 1,000 brokers, which
// cannot run as processes on one machine. The view of each member is the program's own (package
// membership). The protocol is a model of memberlist's SWIM: a probe of one member per interval, indirect
// probes when its ack is late, suspicions that a member refutes by a newer incarnation and that shorten
// with confirmations (Lifeguard), gossip of updates to a few random members, each update a limited number
// of times, and a dead member asked to join again from time to time (as package gossip does). Not modelled
// are TCP fallback probes, the push-pull every 30 s, local health (awareness), compression and batching of
// messages; FLEET-VIEW.md says what that changes.
//
// A simulation uses one goroutine and is the same for a seed. The command "fleet-view" of dykering-lab
// calls it.
package swim
