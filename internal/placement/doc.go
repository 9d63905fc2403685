// Package placement decides which models, and which adapters of models, are loaded on which endpoints.
//
// It has three parts, each without input or output, without goroutines and without a clock of its own: the caller passes
// the time.
//
//   - Demand estimates how much each model and adapter is asked for, from the reports of all proxies (demand.go).
//   - Plan derives orders to load and unload from the demand and from what the endpoints have loaded (plan.go,
//     models.go, eviction.go, adapters.go).
//   - LoadLedger is the accounting for the rate limit of the store that model weights are read from (loadledger.go).
//
// The caller is the placement controller of package controlplane, on the one control process that holds the lease of the
// placement. It executes the orders, and sends the ledger to its peers, so that a successor can continue it.
//
// Not in this package: the lease, the execution of orders and its retries, the choice of an endpoint for a request
// (package routing), and the scaling of endpoints, whose number is given.
//
// # Inputs and outputs
//
// Plan reads an Input: the configured engine of one service, its endpoints as they will be once the orders in flight have
// been executed, the demand, and the number of loads that may start now. It returns at most one order for an endpoint. It
// keeps nothing between calls; what has been ordered is part of the endpoints that the caller passes.
//
// # Invariants
//
//   - An endpoint never gets more weights than its memory holds, nor more adapters than it has slots (Endpoint.Fits).
//   - A plan starts at most Input.MaxLoads loads of weights. An unload that frees memory for a model counts as a load,
//     since the load follows it.
//   - Loads recorded in a LoadLedger stay within the store's rate limit in every window, also across a change of the lease
//     holder (LoadLedger.AssumeUnreported).
//   - An endpoint with an order in flight, or that is excluded, gets no order.
//   - A replica is evicted only for a model whose urgency is at least the cost of the eviction.
//
// # Source
//
// The mechanism is the project's own. docs/ROUTING.md describes it, docs/DECISIONS.md has what each part was measured to
// gain. Estimates are exponentially weighted moving averages over irregular intervals.
package placement
