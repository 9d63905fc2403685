package gossip

import "sync/atomic"

// Traffic counts the packets, bytes and streams of the gossip. Bad counts packets, streams and metadata that could not
// be decoded.
type Traffic struct {
	PacketsIn, PacketsOut, BytesIn, BytesOut, StreamsIn, StreamsOut, Bad atomic.Uint64
}

// Counters holds the event counts since the start of the process. The field names are JSON keys of the view that the
// control address serves.
type Counters struct {
	Traffic
	// Acks counts answered probes. Future counts members that were rejected because their process started in the future.
	// Lost counts changes and messages that were dropped because a queue was full.
	Acks, Suspicions, Refutations, Deaths, Joins, Leaves, Conflicts, Future, Lost atomic.Uint64
}
