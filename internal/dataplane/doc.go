// Package dataplane is the proxy process (`dykering proxy`): it admits the requests of clients, forwards each to an endpoint,
// and copies the response. A request's way is Server.ServeHTTP in handler.go, from top to bottom; each of its steps is in the
// file of that name (request, selection, attempt, response, streaming, retries, request_outcomes).
//
// It owns the proxy's connections, the deadlines of requests, what is sent again, and the counts and explanations of how
// requests ended. It does not own the policy of selection and the retry budget (internal/routing), HTTP/1.1 to endpoints
// (internal/http1), the table from error kind to status (internal/errkind), or which endpoints and configurations exist: a
// control process streams those (internal/protocol, internal/controlplane).
//
// Invariants:
//
//   - A rejection whose kind promises that the request has not run is only sent where no attempt may have run.
//   - A request that may run only once is sent again only if no attempt may have run.
//   - A response that was cut never looks complete: its connection is closed without the last chunk or the missing bytes,
//     after its outcome was recorded.
//   - Each request is counted once when it arrives and once when it ends; each attempt's call is begun and ended once.
//
// Goroutines and their owners: Run starts the two HTTP servers, the update stream (followUpdates) and the demand reports
// (reportDemand), all of which end with the process. newServer starts runCommands, which alone touches the tables; every
// other goroutine uses post or ask. net/http has one goroutine for each request, which owns its exchange. A stream to a control
// process has one more, which sends (sendMessages) and ends with the stream.
//
// Bounds: commandQueue commands wait for the tables' owner, then callers block; bodies are bounded by the memory limit
// (core.Memory) and maxBodyBytes each; idle connections by maxIdlePerEndpoint and a part of the descriptors; reports, outcomes
// and explanations by maxDemandEntries, maxOutcomes and maxExplanations.
//
// Its caller is cmd/dykering. The protocol with clients and endpoints is described in docs/SYSTEM.md, selection in
// docs/ROUTING.md, measured figures of the constants in docs/DECISIONS.md.
package dataplane
