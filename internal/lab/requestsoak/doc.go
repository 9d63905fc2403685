// Package requestsoak plays a whole system on loopback under faults: control processes and proxies as real processes, and fake
// endpoints, clients and an operator in the calling process. It records what each client sent and received and what each endpoint
// ran, and checks the rules that bind the two: no request that may run once runs twice (TWICE), none runs that was refused with a
// promise (REFUSED), a success is the whole response of an endpoint to that request (MIXED), a stream is the events of its request in
// order (ORDER), an endpoint receives in a body only what the client sent (UNASKED), and a planned stop loses no request that an
// endpoint has (LOST).
//
// Clients use connections until these end, and retry as the platform's clients do. Endpoints have few slots, reject what does not
// fit, send surplus responses, and may run a request before they read its body, or without ever reading it. They break off streams,
// whose bodies may end with the connection. Signals, restarts, crashes and changes of the configuration come in series that
// overlap. A seed determines all draws, but not the schedule of the operating system.
package requestsoak
