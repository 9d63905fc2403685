package core

import (
	"sync/atomic"
	"time"

	"dykering/internal/decision"
)

// Endpoint is one start of an endpoint at one address. When either changes, another takes its place.
type Endpoint struct {
	ID               decision.EndpointID
	Address          string
	AwaitingResponse atomic.Int32 // attempts that wait for its answer, on connections that stand

	unsolicitedAt atomic.Int64 // when it last sent more than it was asked for, in Unix nanoseconds

	uid    string
	bootMS int64
	open   atomic.Bool
	entry  decision.Entry // as it was last listed
}

// NewEndpoint makes an endpoint that is open.
func NewEndpoint(id decision.EndpointID, address string) *Endpoint {
	e := &Endpoint{ID: id, Address: address}
	e.open.Store(true)
	return e
}

const (
	// settle is how long a connection rests after an answer at the least. Nothing ties an answer to its request, so what
	// an endpoint sends beyond an answer must be seen before the next request is written.
	reuseDelay = time.Millisecond
	// rested is when that has come that is some milliseconds late. A connection that has rested so long is preferred, and
	// one to an endpoint that has sent more than it was asked for, in the last distrustFor, waits until then.
	cautiousReuseDelay = 20 * time.Millisecond
	unsolicitedMemory  = 10 * time.Second
)

// SentBeyond notes that the endpoint has sent more than it was asked for.
func (e *Endpoint) NoteUnsolicitedData() { e.unsolicitedAt.Store(time.Now().UnixNano()) }

// Settle is how long a connection to it rests after an answer.
func (e *Endpoint) ReuseDelay() time.Duration {
	if time.Since(time.Unix(0, e.unsolicitedAt.Load())) < unsolicitedMemory {
		return cautiousReuseDelay
	}
	return reuseDelay
}

// Open tells whether it may get new attempts.
func (e *Endpoint) IsOpen() bool { return e.open.Load() }

// Shut closes it to new attempts.
func (e *Endpoint) Close() { e.open.Store(false) }
