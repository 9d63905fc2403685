// Package decision makes the decisions of a client-side load balancer for one instance: which endpoint
// receives a call, when a call is retried, queued, rejected or failed, and when the endpoint list is fetched.
//
// # Terms
//
//   - An instance is one process that runs a Balancer. A fleet is all instances that call the same endpoints.
//   - A tier is the group of endpoints that do the same work. The endpoints of a tier may call the next tier
//     through instances of their own. Without a further word, "the tier" is the one that an instance calls.
//   - A class is a kind of request with one latency target, deadline and value. A tenant is a customer with a
//     quota. A site is an installation with its Settings.
//   - The base latency of a class is its latency at little load. The usual latency is that at the usual load.
//   - A subset is the part of the tier that one instance calls.
//
// # State
//
// A Balancer owns all state that decisions depend on: the endpoints with their state (usable, in slow start,
// ejected, draining), the requests from arrival to their last outcome, the statistics of latency and errors,
// the limit on calls in flight, the retry budget and the token buckets of the tenants. Settings is its
// configuration, and the Host carries out its decisions.
//
// # Invariants
//
//   - The package does no I/O, reads no clock and starts no goroutine. Each event carries its time, counted
//     from an arbitrary start; times never decrease.
//   - The same settings, seed and events produce the same actions in the same order.
//   - A request gets exactly one final answer: a response, Refuse or Fail. It is refused only where another
//     attempt by the client is harmless.
//   - A request has at most one attempt in flight. An Unsafe request is never sent again once it may have
//     run. A Keyed request that may have run is sent again only within the scope and the window in which
//     endpoints drop duplicates.
//   - A draining endpoint gets no new calls. Ejection for errors or silence never removes more than half of
//     the listed endpoints.
//
// # Limits of the package
//
// Connections, timeouts of attempts, protocols and the transport of the endpoint list belong to the
// embedding program. A Balancer is not safe for concurrent use: the embedding program calls it from one
// goroutine.
//
// # Callers
//
// internal/core runs a Balancer in the event loop of the sidecar, internal/wire runs it on the protocol of
// the simulator, and internal/lab/sim runs it in virtual time.
//
// # Sources
//
// The states of an endpoint and their transitions follow "Exploration and practice of large-scale Spring
// Cloud microservices online and offline without loss" (Alibaba): callers isolate departing endpoints before
// these stop, and warm up new ones. The draining state of the discovery service replaces the ReadOnly header
// and the GoAway call of that article. Endpoint selection is the power of two choices (Mitzenmacher 2001).
// Subsets follow the idea of deterministic subsetting (Google SRE book, chapter 20). Ejection is the outlier
// ejection of Envoy, with a trial call in place of a fixed ejection time. docs/DESIGN-NOTES.md and
// docs/FLEET.md give the reasons, the rejected variants and the measurements.
package decision
