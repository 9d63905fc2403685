package core

// Partition of the sockets that a process may use.
const (
	// outboundSocketShare is the share of the unreserved sockets for connections to endpoints. Clients have the rest.
	outboundSocketShare = 0.4
	// ReservedSockets is the number of sockets that are reserved for the listeners, discovery, health checks, standard
	// streams, the Go runtime, the control address (control.MaxConnections), and OverflowSockets.
	ReservedSockets = 40
	// OverflowSockets is the number of client connections that are accepted beyond MaxInbound, only to reject their
	// requests.
	OverflowSockets = 12
)

// Limits are the resources that a process may use: those of its container, or its share of them.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// MaxInbound returns the maximum number of client connections.
func (l Limits) MaxInbound() int {
	return int((1 - outboundSocketShare) * float64(l.Sockets-ReservedSockets))
}

// MaxOutbound returns the maximum number of connections to endpoints.
func (l Limits) MaxOutbound() int {
	return int(outboundSocketShare * float64(l.Sockets-ReservedSockets))
}
