// Package control serves the control address of the sidecar: whether the process can serve, calls that drain it and end a
// drain, and what it holds of the fleet.
//
// It knows the sidecar only by an interface whose methods do not block, and shares nothing with the proxy: an operator is
// answered under any load. A call is answered once its body has arrived completely; a client that sends half a call, or
// nothing, changes nothing and takes no room from the next one. Package sidecar starts it.
package control
