// Package control is the HTTP server for operators at the control address of the sidecar. It reports whether the process
// can serve, starts and ends drains, and reports the state of the fleet.
//
// The package uses the sidecar only through an interface whose methods do not block, and shares no resources with the
// proxy. It therefore answers operators under any load. A request takes effect only after its body has arrived completely.
// A client that sends an incomplete request, or nothing, has no effect and does not keep other clients from being served.
// Package sidecar starts the server.
package control
