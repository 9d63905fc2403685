package core

import (
	"sync"
	"sync/atomic"
)

const (
	bodyMemoryShare  = 0.25  // share of the memory for bodies that are buffered completely
	relayMemoryShare = 0.125 // share of the memory for the relay buffers of bodies that are forwarded as they arrive
	headMemoryShare  = 0.1   // share of the memory for the parsed heads of requests that weigh more than an ordinary one

	// minBuffer and maxBuffer bound the size of a relay buffer, in bytes.
	minBuffer = 4 << 10
	maxBuffer = 32 << 10
)

// Memory bounds the memory for the bodies of all requests and responses, and for the heads of requests.
type Memory struct {
	Heads   Budget   // for heads of requests, beyond what their connections include
	Bodies  Budget   // for bodies that are buffered completely
	Buffers *Buffers // for bodies that are forwarded as they arrive
}

// NewMemory divides the memory of a process according to its limits.
func NewMemory(limits Limits) *Memory {
	m := &Memory{Buffers: NewBuffers(int(relayMemoryShare*float64(limits.MemoryMB<<20)) / limits.Sockets)}
	m.Heads.Release(int(headMemoryShare * float64(limits.MemoryMB<<20)))
	m.Bodies.Release(int(bodyMemoryShare * float64(limits.MemoryMB<<20)))
	return m
}

// Buffers is a pool of relay buffers of one size. Each connection uses at most one buffer at a time. NewMemory therefore
// chooses the size so that the buffers fit into their share of the memory while all connections relay at once.
type Buffers struct{ pool sync.Pool }

// NewBuffers creates a pool of buffers. The size in bytes is limited to the range from minBuffer to maxBuffer.
func NewBuffers(size int) *Buffers {
	size = min(max(size, minBuffer), maxBuffer)
	return &Buffers{pool: sync.Pool{New: func() any { b := make([]byte, size); return &b }}}
}

// Get returns a buffer from the pool, or a new one if the pool is empty.
func (b *Buffers) Get() []byte { return *b.pool.Get().(*[]byte) }

// Put returns a buffer to the pool.
func (b *Buffers) Put(buffer []byte) { b.pool.Put(&buffer) }

// Budget is a number of bytes that may be acquired. It is safe for concurrent use.
type Budget struct{ available atomic.Int64 }

// TryAcquire acquires n bytes if they are available, and reports whether it did.
func (b *Budget) TryAcquire(n int) bool {
	if b.available.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// ForceAcquire acquires n bytes even if they are not available. It is for small amounts without which a request cannot
// proceed.
func (b *Budget) ForceAcquire(n int) { b.available.Add(-int64(n)) }

// Release returns n bytes to the budget.
func (b *Budget) Release(n int) { b.available.Add(int64(n)) }

// Available returns the number of bytes that may still be acquired. It can be negative after ForceAcquire.
func (b *Budget) Available() int64 { return b.available.Load() }
