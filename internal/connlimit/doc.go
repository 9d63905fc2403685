// Package connlimit bounds what the clients of a listener can take up, all of them together: connections, the memory for request
// heads, and input that is not read yet. A client that sends without an end, slowly or nothing, or that does not read its answers,
// then neither ends the process nor keeps other clients out.
//
// A Listener follows each connection through the phases of its requests. When it has no room for another connection or for more
// input, it closes the connection that has made the least of its time: one that waits in the middle of a head or has sent nothing,
// then an idle one, then one whose body is slow, then one whose client does not read. A request that was received completely is
// never given up for another one, unless its client does not read the answer.
//
// Invariants:
//
//   - At most Limits.Connections connections are open.
//   - Heads up to lightHeadBytes need no room beyond that of their connection. Ordinary requests therefore do not compete with
//     heavy heads.
//   - A connection is in the list of exactly one phase until it is closed, evicted or hijacked.
//
// Callers are dataplane and controlplane: Serve for the HTTP servers, and Accept with Conn.MessageReceived for the messages between
// processes. Package http1 has a similar tracker for the sidecar, with a transfer of connections to another process.
package connlimit
