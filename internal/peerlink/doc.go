// Package peerlink carries messages between the processes of the system over TCP.
//
// Conn is one connection: messages are encoded with encoding/gob, as interface values whose types are registered (package
// protocol), and each is sent in a frame of bounded length. Link sends messages to one address without blocking: it has a
// queue, and a goroutine that dials when there is something to send.
//
// The callers are controlplane (links to peers; connections of peers, proxies and operator's commands) and dataplane (the
// stream of updates). The package knows nothing of the messages, makes no retries across connections, and has no
// authentication: the network between the processes is trusted.
//
// Guarantees:
//
//   - Messages on one Conn arrive in order, or the connection breaks.
//   - A Link may drop any message, and delivers those that it does not drop in order for as long as a connection lasts. It
//     never blocks the sender. Whoever uses it sends again what matters.
//   - Memory is bounded: a link has at most queueLength messages, a message at most MaxFrameBytes.
//   - A connection to a silent peer breaks within userTimeout of unacknowledged data, a dial within dialTimeout.
//
// # Wire format
//
// A frame is its length (4 bytes, big endian) and that many bytes of one gob stream for the whole connection. Each message
// is a struct with the single field Body, which gob needs around an interface value.
package peerlink
