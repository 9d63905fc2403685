package gossip

import "sync/atomic"

// Traffic counts what the gossip sends and receives. Bad counts what could not be read.
type Traffic struct {
	PacketsIn, PacketsOut, BytesIn, BytesOut, StreamsIn, StreamsOut, Bad atomic.Uint64
}

// Counters count what has happened since the start. Their names are JSON keys of the view that the control address
// serves.
type Counters struct {
	Traffic
	// Acks are answered probes. Future are members whose process started in the future. Lost are changes and messages
	// that did not fit into a queue.
	Acks, Suspicions, Refutations, Deaths, Joins, Leaves, Conflicts, Future, Lost atomic.Uint64
}
