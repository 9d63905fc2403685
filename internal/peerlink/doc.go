// Package peerlink carries messages between the processes of the system over TCP.
//
// A Conn is one connection. It encodes messages with encoding/gob as interface values, whose types package protocol registers,
// and sends each message in a frame of bounded length. A Link sends messages to one address without blocking the sender. It has
// a queue and a goroutine that connects when there is a message to send.
//
// Package controlplane uses links to its peers, and connections from peers, proxies and operators' commands. Package dataplane
// receives the stream of updates on a connection. Package peerlink does not interpret messages and has no authentication: the
// network between the processes is trusted.
//
// Guarantees:
//
//   - Messages on one Conn arrive in order, or the connection fails.
//   - A Link never blocks the sender. It may drop any message, so its users must repeat messages that matter. On one connection
//     it delivers messages in order. After a failed send it sends the message once more on a new connection, so a message may
//     arrive twice.
//   - Memory is bounded: a link queues at most queueLength messages, and a message has at most MaxFrameBytes.
//   - A connection to a silent peer fails once sent data has been unacknowledged for userTimeout. A dial fails after
//     dialTimeout.
//
// # Wire format
//
// A frame is a length (4 bytes, big endian) followed by that many bytes of a gob stream. One gob stream spans the whole
// connection. Each message is a struct with the single field Body, as gob needs a struct around an interface value.
package peerlink
