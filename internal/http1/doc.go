// Package http1 is the sidecar's HTTP/1.1 proxy: it serves clients on downstream connections, sends
// the attempts that package core decides on over upstream connections, streams long bodies in both
// directions, and transfers open connections to its successor, the process that replaces it.
//
// The package does no routing. Which endpoint a request goes to, whether it is retried and when it
// is rejected is decided by package core (an event loop) and package decision (its rules). How
// descriptors get from one process to the other is in package handover.
//
// # Terms
//
//   - A downstream connection comes from a client, an upstream connection goes to an endpoint.
//   - An endpoint sends a response. A client gets an answer: that response, a rejection or an error.
//   - A call is a request in the core. An attempt is one sending of it to one endpoint.
//   - A relay is a streamed response in progress, an upload a streamed request body in progress.
//   - The successor is the process that replaces this one and accepts on the same listening socket.
//     Its predecessor is the process that it replaces.
//
// # Callers
//
// Package sidecar runs a [Server]. The simulations of internal/lab run it on a [Network] in virtual
// time. Package dataplane uses [EndpointConn] alone: the upstream connection without the core.
//
// # Files
//
//	server.go, lifecycle.go  Server, its start, reload and shutdown
//	downstream_*.go          connections from clients: accept, limits, request, answer, drain
//	parse_*.go               heads, X- headers and chunked bodies
//	request.go               the part of a request that is forwarded
//	upstream_*.go            connections to endpoints, attempts, responses
//	relay_*.go               streamed responses (relay) and request bodies (upload)
//	transfer_*.go            connections sent to the successor or received from the predecessor
//	network*.go              sockets, and waiting for input without reading it
//	stages.go                the phases that requests are in, for the simulations
//
// # Life of a downstream connection
//
//	state      from                      ends with
//	new        accept                    first byte: reading; no byte in headTimeout: closed
//	idle       answer written            first byte: reading; idleTimeout or a drain: closed
//	reading    first byte of a request   body read, or its streamed part begun: serving;
//	                                     headTimeout: 408 and lingering; shutdown: 503 and lingering
//	serving    request read              short answer written: idle, or lingering if it was the last;
//	                                     streamed response: streaming; client hangs up: closed
//	streaming  response of unknown or    response relayed: idle, or lingering if it was the last
//	           large length begins
//	lingering  last answer written       client closes or lingerTimeout: closed
//
// An answered connection with pipelined input in memory goes to reading instead of idle.
//
// A connection can be transferred to the successor on its own in the states new, idle and reading,
// until its request is dispatched. In serving it is transferred only with its upload, and in
// streaming only with its relay, in both cases between two steps of the copy.
//
// At the limit of connections, one is evicted for each new one: first new ones, then lingering,
// idle and stalled reading ones.
//
// # Goroutines
//
//   - One goroutine for each downstream connection reads its requests and writes the answers. It
//     waits for the core's answer on Call.Answered; meanwhile a helper goroutine watches for the
//     client's hang-up.
//   - One goroutine for each attempt, started by the core, owns the upstream connection until it
//     returns the result. A streamed request has one helper that writes the body and one that waits
//     for the response.
//   - A streamed response is copied by the goroutine of the downstream connection. The attempt's
//     goroutine waits on download.done and keeps the upstream connection reserved until then.
//   - Server.Run starts the core loop, the accept loop, the drain loop and the wait for signals.
//
// # Bounds
//
//   - Connections: config.Plan().MaxInbound() and core.OverflowSockets.
//   - Heads: maxHead and maxResponseHead.
//   - Bodies: maxBufferedBody in memory, which core.Memory accounts for, and maxStreamedBody streamed
//     through one buffer of core.Buffers each.
//   - Time: headTimeout, minBodyRate, idleTimeout, streamStallTimeout, writeTimeout and lingerTimeout.
//
// # Invariants
//
//   - A request is written at most once for each attempt, and an attempt reports NotSent or
//     ConnectFailed only if its last byte was certainly not written.
//   - A connection with an unanswered or unread request is not closed while it can be answered.
//   - A connection belongs to one process: after a transfer without error only the successor uses it.
//   - A message whose framing two parsers may read differently is rejected, in both directions
//     (RFC 9112, sections 6.3 and 11.2).
package http1
