// Package budget divides a fleet-wide quota among the brokers by leases. Each broker always has a fallback share, the
// floor. The rest of the quota is the pool. A lease grants a broker a share of the pool for a limited time, after which
// the share may be granted to another broker.
//
// The package has the division of a pool (Divide), the ledger of grants (Ledger), the grantor that decides on grants
// (Grantor) and the holder that spends them (Holder). Leases follow Gray and Cheriton (1989): a holder measures its lease
// from the time of its request; the grantor keeps the lease charged until it must have ended by any clock within the
// drift bound. The package does no I/O and reads no clock. Package budgets replicates the ledger and carries the messages;
// the simulator runs the same code in virtual time.
//
// Invariant for each quota: at every instant the floors and the leases that any holder may still spend add up to at most
// the quota. It holds with lost, late and repeated messages, partitions, stalls, crashes and changes of the grantor, as
// long as every clock runs at a rate between 1 - MaxDrift and 1 + MaxDrift of true time.
package budget
