// Package fleetconfig is the operator's configuration of routes, services and limits as a replicated value.
//
//   - document.go: Document, a configuration with the text of each item as it was sent.
//   - change.go: Change, an operator's request that leads from one document to the next, and Digest, its identity.
//   - state.go: State, the value that the chain replicates: the document and the identities of the changes that led to it.
//   - validation.go: the schema of changes, and the rules that a schema cannot express.
//   - config.go: Config, a document in the terms of the program, as routing and placement use it.
//
// The package has no input or output and no clock. Its callers are controlplane, which validates changes at the head of
// the chain and applies them at each replica, and dataplane, routing and placement, which use Config. Settings of single
// processes are in package nodefile.
//
// Invariants:
//
//   - State.Next and State.Apply are deterministic: each replica gets the same state from the same changes.
//   - A State and a Document are immutable; a change makes new ones, which share what has not changed.
//   - Versions rise with every change. A change names the version that it is based on, and is rejected if that is not the
//     current one (optimistic concurrency control).
//   - A change that was applied is recognised when it is sent again (idempotent retry), as long as its digest is kept. A
//     change that may have been applied longer ago is answered as unavailable, never as rejected.
//   - Items are kept as they were sent, with keys that this program does not know.
//
// State, Document, Item and Change are encoded with encoding/gob on the wire and on disk: the names of their fields are
// fixed.
package fleetconfig
