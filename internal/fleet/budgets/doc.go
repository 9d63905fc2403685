// Package budgets divides tenants' quotas among the live brokers of a fleet, by leases (package budget).
//
// A few members, the voters, replicate the ledger of grants by Raft (go.etcd.io/raft/v3; Ongaro and Ousterhout 2014) and
// keep their log in bbolt; the leader grants. Every broker asks for its next lease several times while one holds. It
// spends by the lease until that ends by its own clock, and by its floor without one. Messages go over the gossip's
// streams (package gossip).
//
// Invariants:
//   - One goroutine (Service.run) owns the state. The gossip's goroutines hand it messages through a bounded queue, and each
//     member that is sent to has a queue and a goroutine of its own: a lost message is asked for or sent again.
//   - A voter sends nothing that follows from a state which is not on disk. One whose disk fails, or whose log contradicts
//     the others', votes no more; its broker goes on by the other voters' leases or its floor.
//   - The broker itself ends a lease, so that a goroutine of this package that runs late spends nothing too much.
//
// The sidecar program starts it where the operator's file enables fleet-wide budgets.
package budgets
