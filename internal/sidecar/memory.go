package sidecar

import (
	"sync"
	"sync/atomic"
)

const (
	// bodyShare is the part of the memory that bodies may use that are held, and relayShare what the buffers of
	// those that are passed on may.
	bodyShare  = 0.25
	relayShare = 0.125

	leastBuffer = 4 << 10
	mostBuffer  = 32 << 10
)

// memory bounds what bodies take, of all requests and answers together.
type memory struct {
	bodies  budget
	buffers *buffers
	longest int64 // that a body may be
}

func newMemory(c *Config) *memory {
	limits := c.plan()
	m := &memory{longest: maxLong, buffers: newBuffers(int(relayShare*float64(limits.MemoryMB<<20)) / limits.Sockets)}
	m.bodies.left.Store(int64(bodyShare * float64(limits.MemoryMB<<20)))
	return m
}

// buffers are for relaying. A connection uses one at a time, and connections are bounded: the size is what each
// may take of the share when all relay at once.
type buffers struct{ pool sync.Pool }

func newBuffers(size int) *buffers {
	size = min(max(size, leastBuffer), mostBuffer)
	return &buffers{pool: sync.Pool{New: func() any { b := make([]byte, size); return &b }}}
}

func (b *buffers) get() []byte { return *b.pool.Get().(*[]byte) }

func (b *buffers) put(buffer []byte) { b.pool.Put(&buffer) }

// budget bounds the bytes that are held for the bodies of all requests and answers together.
type budget struct{ left atomic.Int64 }

func (b *budget) take(n int) bool {
	if b.left.Add(-int64(n)) >= 0 {
		return true
	}
	b.give(n)
	return false
}

func (b *budget) give(n int) { b.left.Add(int64(n)) }

// force takes what little is needed to go on, though it is not there.
func (b *budget) force(n int) { b.left.Add(-int64(n)) }
