// Package routing decides where the proxy sends a request: it matches the route, selects the service and the endpoint, and
// limits retries. The package does no I/O, reads no clock and starts no goroutine. The caller passes the time, as the
// duration since an arbitrary start, and a random generator. Selection is deterministic: the same sequence of calls with
// the same generator selects the same endpoints.
//
// The package owns the table of endpoints that one proxy knows (Pool), with the proxy's own calls in flight to each, and the
// proxy's share of the retry budget (RetryBudget). Package dataplane owns connections, requests and timeouts; package
// sessions owns the registration of endpoints.
//
// Invariants:
//
//   - An endpoint that drains or has deregistered is never selected again. An endpoint ID identifies one incarnation; a
//     restarted endpoint has a new ID.
//   - An ejected endpoint has at most one trial call in flight.
//   - Each BeginCall is followed by exactly one EndCall, and by at most one ResponseStarted in between.
//   - The tables are bounded: maxDeparted limits the remembered IDs of departed endpoints, maxNotLoaded the models that
//     one endpoint is remembered not to have loaded.
//
// A Pool and a RetryBudget are not safe for concurrent use: the proxy confines each to one goroutine. Routes is immutable
// and may be shared.
//
// Sources: selecting the least loaded of a few random candidates is the power of d choices (Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing", 2001). Affinity uses rendezvous hashing (Thaler and Ravishankar, 1998). Slow start,
// outlier ejection and the retry budget follow the Envoy features of these names. Further reading: docs/DECISIONS.md and
// docs/ROUTING.md.
package routing
