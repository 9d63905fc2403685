// Package fleetconfig implements the operator's configuration of routes, services and limits as a replicated value.
//
//   - document.go: Document, a configuration with the JSON text of each item as the operator sent it.
//   - change.go: Change, an operator's request to change a document, and Digest, the identity of a change.
//   - state.go: State, the replicated value: the document and the digests of the changes that led to it.
//   - validation.go: the JSON schema of changes, and the rules that a schema cannot express.
//   - config.go: Config, a parsed document, which routing and placement use.
//
// The package performs no input or output and uses no clock. Package controlplane validates changes at the head of the
// replication chain and applies them at each replica. Packages dataplane, routing and placement use Config. The settings of
// a single process are in package nodefile.
//
// Invariants:
//
//   - State.Next and State.Apply are deterministic: each replica gets the same state from the same changes.
//   - State and Document are immutable. A change creates new values, which share their unchanged parts with the old ones.
//   - Versions rise with every change. A change contains the version that it is based on, and is rejected if that is not the
//     current version (optimistic concurrency control).
//   - A change that was applied is recognized when it is sent again (idempotent retry), as long as its digest is kept. A
//     change that may have been applied before that is answered as unavailable, never as rejected.
//   - Items are stored as they were sent, including keys that this program does not know.
//
// State, Document, Item and Change are encoded with encoding/gob on the wire and on disk, so the names of their fields must
// not change.
package fleetconfig
