package core

import (
	"sync"
	"sync/atomic"
)

const (
	// bodyShare is the part of the memory that bodies may use that are held, and relayShare what the buffers of
	// those that are passed on may.
	bodyMemoryShare  = 0.25
	relayMemoryShare = 0.125

	minBuffer = 4 << 10
	maxBuffer = 32 << 10

	// outboundShare is the part of the sockets that connections to endpoints may use.
	outboundSocketShare = 0.4
	// ReservedSockets are for the listeners, discovery, probes, standard streams and the runtime, for
	// control.MaxConnections, and for ExcessSockets: callers that come when all connections are busy, and are
	// turned away.
	ReservedSockets = 40
	OverflowSockets = 12
)

// Limits are those of the machine that a process runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Inbound is how many connections callers may have.
func (l Limits) MaxInbound() int {
	return int((1 - outboundSocketShare) * float64(l.Sockets-ReservedSockets))
}

// Outbound is how many connections there may be to endpoints.
func (l Limits) MaxOutbound() int {
	return int(outboundSocketShare * float64(l.Sockets-ReservedSockets))
}

// Memory bounds what bodies take, of all requests and answers together.
type Memory struct {
	Bodies  Budget
	Buffers *Buffers
}

// NewMemory makes the memory of a process.
func NewMemory(limits Limits) *Memory {
	m := &Memory{Buffers: NewBuffers(int(relayMemoryShare*float64(limits.MemoryMB<<20)) / limits.Sockets)}
	m.Bodies.Release(int(bodyMemoryShare * float64(limits.MemoryMB<<20)))
	return m
}

// Buffers are for relaying. A connection uses one at a time, and connections are bounded: the size is what each
// may take of the share when all relay at once.
type Buffers struct{ pool sync.Pool }

// NewBuffers makes buffers of a size, or of the nearest that is of use.
func NewBuffers(size int) *Buffers {
	size = min(max(size, minBuffer), maxBuffer)
	return &Buffers{pool: sync.Pool{New: func() any { b := make([]byte, size); return &b }}}
}

// Get takes a buffer, and Put gives it back.
func (b *Buffers) Get() []byte { return *b.pool.Get().(*[]byte) }

func (b *Buffers) Put(buffer []byte) { b.pool.Put(&buffer) }

// Budget bounds the bytes that are held for the bodies of all requests and answers together.
type Budget struct{ available atomic.Int64 }

// Take takes bytes, if they are there.
func (b *Budget) TryAcquire(n int) bool {
	if b.available.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Give gives bytes back.
func (b *Budget) Release(n int) { b.available.Add(int64(n)) }

// Force takes what little is needed to go on, though it is not there.
func (b *Budget) ForceAcquire(n int) { b.available.Add(-int64(n)) }

// Left is how many bytes may still be taken.
func (b *Budget) Available() int64 { return b.available.Load() }
