// Package dataplane is the proxy process (`dykering proxy`), an HTTP reverse proxy for model servers. It admits the requests of
// clients, forwards each request to an endpoint and copies the response to the client. An endpoint is one model server.
//
// Server.ServeHTTP in handler.go shows the steps of a request from top to bottom. Each step is in a file of its own: request.go,
// selection.go, attempt.go, response.go, streaming.go, retries.go and request_outcomes.go.
//
// The package owns the connections to endpoints, the deadlines of requests, the retries, and the counts and explanations of how
// requests ended. Other packages own the selection policy and the retry budget (internal/routing), the HTTP/1.1 protocol
// with endpoints (internal/http1) and the mapping from error kinds to HTTP statuses (internal/errkind). A control process
// streams the lists of endpoints and the configurations to the proxy (internal/protocol, internal/controlplane).
//
// Invariants:
//
//   - A rejection whose kind promises that the request has not run is sent only if no attempt may have run the request.
//   - A non-idempotent request is retried only if no attempt may have run it. An attempt may have run it once the complete head was
//     sent, unless the endpoint responds that it has not.
//   - A truncated response never looks complete. After the outcome is recorded, the client's connection is closed without the
//     last chunk or the missing bytes.
//   - Each request is counted once when it arrives and once when it ends. Each attempt begins one call and ends it once.
//
// Goroutines: newServer starts the table loop (runTableLoop), the only goroutine that accesses the tables. Every other goroutine
// sends it commands with enqueue or queryTables. Run starts the two HTTP servers, the update stream (followUpdates) and the
// demand reports (reportDemand), all of which end with the process. net/http runs one goroutine for each request, which owns
// the request's exchange. Each stream from a control process has a sending goroutine (sendMessages), which ends with the stream.
//
// Bounds: at most commandQueueSize commands wait for the table loop; after that, callers block. A request body takes at most
// maxBodyBytes, and all bodies together at most the memory limit (core.Memory). Idle connections are bounded by
// maxIdlePerEndpoint and by a fraction of the file descriptors. Demand reports, outcomes and explanations are bounded by
// maxDemandEntries, maxDistinctOutcomes and maxExplanations.
//
// The package is used by cmd/dykering. Further reading: docs/SYSTEM.md (the protocol with clients and endpoints) and
// docs/ROUTING.md (selection).
package dataplane
