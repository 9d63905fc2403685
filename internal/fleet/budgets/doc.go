// Package budgets divides tenants' quotas among the live brokers of a fleet by leases. Package budget has the rules;
// this package replicates its ledger and exchanges its messages.
//
// A few members, the voters, replicate the ledger of grants by Raft (go.etcd.io/raft/v3; Ongaro and Ousterhout 2014) and
// store their Raft log in bbolt. The leader grants leases. Every broker requests its next lease several times during the
// current one. It spends the lease until that ends by its own clock; without a lease it spends its floor. Messages are
// sent over the gossip's streams (package gossip).
//
// Invariants:
//   - One goroutine (Service.run) owns the state. The gossip's goroutines send it messages through a bounded queue. Outgoing
//     messages have a queue and a goroutine for each receiver. A lost message is requested or sent again.
//   - A voter sends no message that depends on state which is not on disk. A voter whose disk fails, or whose log
//     contradicts that of other voters, stops voting. Its broker still spends leases from the other voters, or its floor.
//   - The broker itself ends a lease, so that it never overspends when a goroutine of this package runs late.
//
// The sidecar program starts the service if the operator's file enables fleet-wide budgets.
package budgets
