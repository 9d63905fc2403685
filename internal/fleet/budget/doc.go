// Package budget divides a quota among the brokers of a fleet by leases: what each may spend beside a fallback share (the
// floor) that is set aside for it, for how long, and when it may be granted to another broker.
//
// It has the division (Divide), the ledger of grants (Ledger), the grantor that decides (Grantor) and the holder that
// spends (Holder). Leases are those of Gray and Cheriton (1989): a holder counts its lease from when it asked, and the
// grantor until that must have ended by any clock. The package does no I/O and reads no clock. Package budgets
// replicates the ledger and carries the messages; the laboratory runs the same code in virtual time.
//
// The invariant, for each quota: at every instant the floors and the leases that any holder may still spend add up to at
// most the quota. It holds through lost, late and repeated messages, partitions, stalls, crashes and changes of the
// grantor, while every clock runs at a rate between 1 - Drift and 1 + Drift of the true one.
package budget
