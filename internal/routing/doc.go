// Package routing decides where the proxy sends a request: which route and service it has, which endpoint of the service
// gets it, and whether it may be sent again. It does no I/O, reads no clock and starts no goroutine. The caller passes the
// time, counted from an arbitrary start, and a random generator; equal calls with equal generators make equal selections.
//
// It owns the table of endpoints that one proxy knows (Pool), with the proxy's own calls in flight at each, and the proxy's
// part of the retry budget (RetryBudget). It does not own connections, requests or timeouts, which are those of
// internal/dataplane, nor the registration of endpoints, which is that of internal/sessions.
//
// Invariants:
//
//   - An endpoint that drains or has deregistered is never selected again. Its id names one incarnation.
//   - An ejected endpoint has at most one trial call in flight.
//   - Each BeginCall is followed by exactly one EndCall, and by at most one ResponseStarted in between.
//   - The tables are bounded: departed endpoints by maxDeparted, models that an endpoint lacks by maxNotLoaded.
//
// A Pool and a RetryBudget belong to one goroutine, the proxy's owner of its tables. Routes is immutable and may be shared.
//
// Sources: selection by the least loaded of a few random candidates is the power of d choices (Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing", 2001); affinity is rendezvous hashing (Thaler and Ravishankar, 1998). Slow
// start, outlier ejection and the retry budget follow their namesakes in Envoy. The measurements behind the constants are
// in docs/DECISIONS.md and docs/ROUTING.md.
package routing
