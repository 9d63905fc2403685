// Package controlplane implements the control process (dykering control). Several control processes form the core of the
// system, and each is one of its members. A control process receives the heartbeats of endpoints, the configuration changes
// of operators and the calls of the coordination service. It replicates them with the other members and streams updates to
// the proxies. While it holds the lease of the singleton role "placement", it orders endpoints to load and unload models.
//
// # Terms
//
//   - A view is the agreed list of voters and the chain formed from them. The head of the chain orders writes, the tail
//     answers reads, and a write is committed once the tail has stored it (internal/chain).
//   - A lease is the right of one member, the holder, to act in the placement role for a limited time.
//   - A hold is the ownership of a lock for a limited time. A hold that has expired may be taken over by another caller.
//   - A session is what the control plane knows about an endpoint from its heartbeats. An overlay is a change to it that
//     the placement controller publishes before the endpoint's next heartbeat (internal/sessions).
//   - The origin is the store from which endpoints load the weights of models. It carries a limited rate of loads.
//   - A departure is the notice of an endpoint that it drains or deregisters (internal/sessionsync).
//
// # State
//
// Each process has one Server, which owns:
//
//   - the replicated configuration and the state of the coordination service: the Server drives a chain.Node
//     (chain_driver.go, chain_store.go, configuration_fsm.go);
//   - the coordination service: locks, sequences of numbers, and cells with watches (coordination_service.go and the other
//     coordination_*.go files);
//   - the table of endpoint sessions: the Server drives a sessionsync.Replica (heartbeat_endpoint.go, session_replication.go,
//     session_store.go);
//   - the update streams to the proxies (update_stream.go) and the load of every endpoint (endpoint_loads.go);
//   - the placement controller (placement_controller.go, overlays.go, load_ledger_sync.go) with its orders (order.go,
//     order_client.go).
//
// Each resource of the HTTP API or of the command line is served by the file *_endpoint.go of the same name. rpc.go
// dispatches the messages of peers. Other packages define the messages (internal/protocol) and the settings
// (internal/nodefile). Other packages also make the decisions: internal/chain on views and commits, internal/coordination on
// locks and watches, internal/placement on plans, internal/sessions on merges of sessions, internal/sessionsync on the
// messages between replicas of the sessions and the acknowledgement of departures, internal/orders on orders.
//
// # Invariants
//
//   - A message that depends on a durable record is sent only after the record is synced to disk (chainStore.onStored).
//   - A drain or deregistration is acknowledged only when every voter of the view has stored it on disk, or a majority after
//     a timeout. From then on no proxy sees the endpoint as ready again, whichever member the proxy asks and whichever
//     processes restart.
//   - A stream is served only by a member of the chain whose view a majority has confirmed recently, and which has the
//     sessions of its peers. A proxy that changes to another stream therefore never goes back to older state.
//   - An order is sent only while the lease is held, with its fencing token. The lease is checked just before the request.
//   - The loads of weights from the origin stay within the origin's rate in every window, summed over all lease holders.
//
// # Goroutines and their owners
//
// Server.runEventLoop owns all tables; all other goroutines send it commands with Server.enqueue. Run starts and stops the
// goroutines: the event loop (in the goroutine of its caller), chainStore.run and Server.runSessionStore (each the only one
// to access its ring), Server.acceptPeers with one goroutine per connection, the HTTP server with one per request, one
// peerlink.Link per peer, one subscriber.writeUpdates per stream, and one per call to an endpoint, with at most one such call
// per endpoint. All of them end with Server.ctx or with their connection.
//
// # Bounded queues
//
//	commands to the event loop   commandQueueLength 4096; senders block
//	jobs of the chain store      storeQueueLength 4096; beyond, the next record is a snapshot that replaces the dropped jobs
//	snapshots of the sessions    1; each snapshot contains all sessions
//	updates of a stream          updateQueueLength 64; beyond, the stream ends and the proxy subscribes to another member
//	subscribers                  maxSubscribers 2048; beyond, a proxy is sent to another member
//	pending calls to peers       maxPendingCalls 1024; beyond, answered as unavailable
//	pending departures           sessionsync: maxDepartures 4096; beyond, answered as unavailable
//	links to peers               maxLinks 64; beyond, all links are closed and opened again on demand
//	placement decisions kept     maxDecisions 512; beyond, the oldest are dropped
//
// # Callers and further reading
//
// cmd/dykering calls Run for the process, and AskStatus, AskExplain and AskLockExplain for its commands. docs/SYSTEM.md
// describes the mechanisms, docs/SYSTEM-OPERATIONS.md their operation and docs/LOGS.md the log events. The layout follows
// that of Consul's server: one file per role, table or endpoint.
package controlplane
