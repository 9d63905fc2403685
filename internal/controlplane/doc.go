// Package controlplane is the control process (dykering control), a member of the core: it receives the endpoints'
// heartbeats and the operator's configuration changes, replicates both with its peers, streams them to the proxies, and,
// while it holds the lease of the singleton role "placement", orders endpoints to load and unload models.
//
// # What it owns
//
// One Server per process owns, each in a file of its own:
//
//   - the replicated configuration, as the driver of a chain.Node (chain_driver.go, chain_store.go, configuration_fsm.go);
//   - the table of sessions, as the driver of a sessionsync.Replica (heartbeat_endpoint.go, session_replication.go,
//     session_store.go);
//   - the streams of updates to the proxies (update_stream.go) and the load of every endpoint (endpoint_loads.go);
//   - the placement controller (placement_controller.go, overlays.go, load_ledger_sync.go) with its orders (order.go,
//     order_client.go).
//
// A resource of the HTTP API or of the command line is served by the file *_endpoint.go of its name; messages of peers are
// dispatched in rpc.go. What a message or a setting means is defined elsewhere: internal/protocol, internal/nodefile.
// Decisions are too: internal/chain decides on views and commits, internal/placement on plans, internal/sessions on merges,
// internal/sessionsync on what replicas of the sessions exchange and when a departure is acknowledged, internal/orders on orders.
//
// # Invariants
//
//   - A message whose record must be durable first leaves only after the record is synced (chainStore.onStored).
//   - A drain or deregistration is acknowledged only when every voter of the view, or after a time-out a majority, has it on
//     disk: proxies then never again see the endpoint ready, whichever member they ask and whatever restarts.
//   - A stream is served only by a member of the chain whose view a majority has confirmed lately, and which has its
//     peers' sessions: a proxy never goes back to older knowledge by changing its stream.
//   - An order is sent only while the lease is held, with its fencing token, and confirmed just before the request.
//   - Loads of weights, over all holders of the lease, stay within the origin's rate in every window.
//
// # Goroutines and their owners
//
// Server.runEventLoop is the owner of all tables; all other goroutines hand it commands by Server.enqueue. Run starts
// and stops: the event loop (its caller's goroutine), chainStore.run and Server.runSessionStore (the only ones to touch
// their ring), Server.acceptPeers with one goroutine a connection, the HTTP server with one a request, one peerlink.Link
// for each peer, one subscriber.writeUpdates for each stream, and one for each call to an endpoint, of which there is at most
// one an endpoint. All end with Server.ctx or with their connection.
//
// # Bounded queues
//
//	commands to the event loop   commandQueueLength 4096; senders wait
//	jobs of the chain store      storeQueueLength 4096; beyond, the next record is a snapshot that replaces them
//	snapshots of the sessions    1; the next one has all
//	updates of a stream          updateQueueLength 64; beyond, the stream ends and the proxy subscribes elsewhere
//	subscribers                  maxSubscribers 2048; beyond, sent to another member
//	pending calls to peers       maxPendingCalls 1024; beyond, answered as unavailable
//	pending departures           sessionsync: maxDepartures 4096; beyond, answered as unavailable
//	links to peers               maxLinks 64; beyond, all are closed and made again
//	placement decisions kept     maxDecisions 512, the oldest dropped
//
// # Callers and sources
//
// cmd/dykering runs Run, and calls AskStatus and AskExplain for its commands. The mechanisms are described in
// docs/SYSTEM.md, what to do about them in docs/SYSTEM-OPERATIONS.md, the log events in docs/LOGS.md. The layout follows
// that of Consul's server: one file a role, a table or an endpoint.
package controlplane
