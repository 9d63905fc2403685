package core

// Shares of the sockets that a process may use.
const (
	// outboundSocketShare is the share for connections to endpoints, of the sockets that are not reserved.
	outboundSocketShare = 0.4
	// ReservedSockets is the number of sockets for the listeners, discovery, health checks, standard streams and the
	// runtime, for the admin address (control.MaxConnections), and for OverflowSockets.
	ReservedSockets = 40
	// OverflowSockets is the number of connections of callers that are accepted beyond MaxInbound, to be rejected.
	OverflowSockets = 12
)

// Limits are those of the machine that a process runs on, or its share of them.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// MaxInbound is the greatest number of connections of callers.
func (l Limits) MaxInbound() int {
	return int((1 - outboundSocketShare) * float64(l.Sockets-ReservedSockets))
}

// MaxOutbound is the greatest number of connections to endpoints.
func (l Limits) MaxOutbound() int {
	return int(outboundSocketShare * float64(l.Sockets-ReservedSockets))
}
