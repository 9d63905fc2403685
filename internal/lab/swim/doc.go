// Package swim simulates the fleet's gossip in virtual time, for fleets of 300 and 1,000 brokers, which
// cannot run as processes on one machine. The view of each member is the program's own (package membership).
// The protocol is a model of memberlist's SWIM:
//
//   - each member probes one other member per interval, and indirectly if the ack is late;
//   - a member refutes a suspicion of itself by a newer incarnation;
//   - confirmations by other members shorten a suspicion (Lifeguard);
//   - updates are gossiped to a few random members, each update a limited number of times;
//   - a member periodically asks a dead member to join again, as package gossip does.
//
// The model lacks the push-pull every 30 s, local health (awareness), and the compression and batching of
// messages. A TCP fallback probe is modelled as a second ping. docs/FLEET-VIEW.md describes the effects of these
// differences.
//
// A simulation uses one goroutine. Two simulations with the same seed are identical. The command "fleet-view"
// of dykering-lab uses the package.
package swim
