// Package placement decides which models, and which adapters of models, are loaded on which endpoints.
//
// The package has three parts. None of them does I/O, starts a goroutine or reads a clock: the caller passes the time.
//
//   - Demand estimates the demand for each model and adapter from the reports of all proxies (demand.go).
//   - Plan derives orders to load and unload models and adapters from the demand and from the state of the endpoints
//     (plan.go, models.go, eviction.go, adapters.go).
//   - LoadLedger accounts for the rate limit of the store that model weights are read from (loadledger.go).
//
// The caller is the placement controller of package controlplane, on the one control process that holds the placement
// lease. The controller executes the orders with package orders, and sends the ledger to its peers, so that a later lease
// holder can continue it.
//
// Outside this package are the lease, the execution and retrying of orders (package orders), the selection of an endpoint
// for a request (package routing), and the scaling of the number of endpoints.
//
// # Inputs and outputs
//
// Plan reads an Input: the configured engine of one service, its endpoints as they will be once the orders in flight have
// been executed, the demand, and the number of loads that may start now. Plan returns at most one order for each endpoint.
// It keeps no state between calls: the effects of earlier orders are part of the endpoints that the caller passes.
//
// # Invariants
//
//   - An endpoint never loads more than its memory holds, nor more adapters than it has slots (Endpoint.Fits).
//   - A plan starts at most Input.MaxLoads loads of weights. An unload that frees memory for a model counts as a load,
//     since a later plan loads that model.
//   - Loads recorded in a LoadLedger stay within the store's rate limit in every window, also across a change of the lease
//     holder (LoadLedger.AssumeUnreported).
//   - An endpoint that is excluded or has an order in flight gets no order.
//   - A replica is evicted only for a model whose urgency is at least the cost of the eviction.
//
// # Further reading
//
// docs/ROUTING.md describes the algorithm, docs/DECISIONS.md the measurements behind it. The estimates of the demand are
// exponentially weighted moving averages over irregular intervals.
package placement
