// Package discovery follows a service discovery over HTTP: which endpoints there are, and what changes.
//
// # What it owns
//
// The connections to the discovery at one address: a watch, which is a response without end with one JSON list after
// another, and fetches of the full list. It reconnects where lists are pushed; where they must be asked for, a watch is
// begun again only when its sink says so.
//
// # Invariants
//
//   - Watch, Stop and Fetch never block; they and everything that is reported run in the sink's goroutine.
//   - After Stop nothing of the watch is reported, also not what was received before.
//   - A watch without a line for keepAliveTimeout is ended, and one that is not answered after answerTimeout.
//   - A list that cannot be read ends the watch, and the next one begins with the full list: no change is lost.
//
// # What it is not for
//
// It does not judge versions and keeps no list: internal/core decides which list is applied.
//
// # Callers
//
// internal/http1 makes it for the core.Loop, which drives it as a core.Discovery.
//
// # Source
//
// The platform's discovery protocol, and docs/DESIGN-NOTES.md, "Discovery that stalls or breaks off".
package discovery
