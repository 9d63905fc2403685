package core

import (
	"sync"
	"sync/atomic"
)

const (
	// bodyMemoryShare is the share of the memory for bodies that are kept whole, and relayMemoryShare for the buffers
	// of bodies that are relayed as they arrive.
	bodyMemoryShare  = 0.25
	relayMemoryShare = 0.125

	// minBuffer and maxBuffer bound the size of a relay buffer, in bytes.
	minBuffer = 4 << 10
	maxBuffer = 32 << 10
)

// Memory bounds the memory that the bodies of all requests and responses take.
type Memory struct {
	Bodies  Budget // of bodies that are kept whole
	Buffers *Buffers
}

// NewMemory makes the memory of a process.
func NewMemory(limits Limits) *Memory {
	m := &Memory{Buffers: NewBuffers(int(relayMemoryShare*float64(limits.MemoryMB<<20)) / limits.Sockets)}
	m.Bodies.Release(int(bodyMemoryShare * float64(limits.MemoryMB<<20)))
	return m
}

// Buffers is a pool of relay buffers. A connection uses one at a time and connections are bounded, so the size is what
// each may have of the share when all relay at once.
type Buffers struct{ pool sync.Pool }

// NewBuffers makes a pool of buffers of a size in bytes, or of the nearest useful size.
func NewBuffers(size int) *Buffers {
	size = min(max(size, minBuffer), maxBuffer)
	return &Buffers{pool: sync.Pool{New: func() any { b := make([]byte, size); return &b }}}
}

// Get takes a buffer.
func (b *Buffers) Get() []byte { return *b.pool.Get().(*[]byte) }

// Put gives a buffer back.
func (b *Buffers) Put(buffer []byte) { b.pool.Put(&buffer) }

// Budget is a number of bytes that may be taken. It is safe for concurrent use.
type Budget struct{ available atomic.Int64 }

// TryAcquire takes n bytes if they are available.
func (b *Budget) TryAcquire(n int) bool {
	if b.available.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// ForceAcquire takes n bytes whether they are available or not: a little that is needed to go on.
func (b *Budget) ForceAcquire(n int) { b.available.Add(-int64(n)) }

// Release gives n bytes back.
func (b *Budget) Release(n int) { b.available.Add(int64(n)) }

// Available is the number of bytes that may still be taken; negative after ForceAcquire.
func (b *Budget) Available() int64 { return b.available.Load() }
