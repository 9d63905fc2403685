// Package errkind defines the closed list of error kinds of the system, and maps each kind to the HTTP status and the text
// of the response.
//
// A kind is assigned where an error arises and is preserved to the edge of the process. Go code carries it as an Error,
// which KindOf and errors.As find behind wrapping errors. Processes exchange it as a number in a protocol.Reply. HTTP
// responses carry it as status and headers. Decisions such as whether a request may be retried depend on the kind, never
// on the text.
//
// Callers are fleetconfig (validation), controlplane (the API of operators and endpoints) and dataplane (the responses to
// clients).
//
// Invariants:
//
//   - Each kind has an Answer with an error status and a text.
//   - NotExecuted is set only for kinds whose request provably was not and will not be executed, so that a client may retry
//     any such request. Their status is 503, or 412 or 429 for calls of the coordination service.
//   - The numbers of the kinds are sent between processes of different builds. New kinds are added at the end; no kind is
//     removed or moved.
//
// To add a kind: add a constant before numKinds, and its row in answers.
package errkind
