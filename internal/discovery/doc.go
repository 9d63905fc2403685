// Package discovery is the HTTP client of the discovery service. It fetches the list of endpoints and watches it for
// changes.
//
// # Ownership
//
// A client owns the connections to the discovery service at one address. A watch is an endless response that contains one
// JSON list after another. A fetch gets the full list once. In push mode, the client reconnects a broken watch itself. In
// pull mode (Options.Pull), it starts a watch only when its sink calls Watch.
//
// # Invariants
//
//   - Watch, Stop and Fetch never block. The sink calls them in its goroutine, and receives all reports there.
//   - After Stop, nothing from the watch is reported, not even lists that were received before.
//   - A watch ends if no response arrives within answerTimeout, or if it is then silent for keepAliveTimeout.
//   - A malformed list ends the watch. The next watch starts with the full list, so that no change is lost.
//
// # Scope
//
// The package does not compare versions and stores no list. internal/core decides which lists to apply.
//
// # Callers
//
// internal/http1 creates the client for the core.Loop, which uses it as a core.Discovery.
//
// # Further reading
//
// docs/DESIGN-NOTES.md, "Discovery that stalls or breaks off".
package discovery
