// Package decision makes the decisions of a client-side load balancer for one instance: which endpoint gets a call,
// when a call is retried, queued, rejected or failed, and how the endpoint list is followed.
//
// # What it owns
//
// A Balancer owns all state that decisions rest on: the endpoints with their state (usable, in slow start, ejected,
// draining), the requests from arrival to their last outcome, the statistics of latency and errors, the limit on
// calls in flight, the retry budget and the tenants' token buckets. Settings is its configuration, and the Host
// carries out what it decides.
//
// # Invariants
//
//   - It does no input or output, reads no clock and starts no goroutine. Each event comes with its time, counted
//     from an arbitrary start; times never decrease.
//   - For the same settings, seed and events it takes the same actions, in the same order.
//   - A request gets one final answer: a response, Refuse or Fail. It is refused only where a further attempt by the
//     client is harmless.
//   - A request has at most one attempt in flight. One that is Unsafe is never sent again once it may have run, and
//     one that is Keyed only within the scope and the window in which endpoints drop duplicates.
//   - An endpoint that drains gets no new calls; ejection by errors or silence never takes more than half of the list.
//
// # What it is not for
//
// Connections, time-outs of attempts, protocols and the endpoint list's transport are the embedding program's.
// A Balancer is not safe for concurrent use: the embedding program calls it from one goroutine.
//
// # Callers
//
// internal/core runs it in the sidecar's event loop, internal/wire on the simulator's protocol, internal/lab/sim in the
// laboratory's virtual time.
//
// # Source
//
// The states of an endpoint and their events follow "Exploration and practice of large-scale Spring Cloud
// microservices online and offline without loss" (Alibaba): departing endpoints are isolated by their callers before
// they stop, new ones are warmed up. The article's ReadOnly header and GoAway call are replaced by the discovery's
// draining state. The pick is the power of two choices (Mitzenmacher 2001), subsets follow the idea of deterministic
// subsetting (Google SRE book, chapter 20), ejection is the outlier ejection of Envoy with a trial call in place of a
// fixed time. docs/DESIGN-NOTES.md and docs/FLEET.md give reasons, rejected variants and measurements.
package decision
