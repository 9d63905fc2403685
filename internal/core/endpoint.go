package core

import (
	"sync/atomic"
	"time"

	"dykering/internal/decision"
)

// Endpoint is one process of an endpoint at one address. When either changes, another Endpoint takes its place.
type Endpoint struct {
	ID               decision.EndpointID
	Address          string
	AwaitingResponse atomic.Int32 // attempts that wait for a response on an established connection

	lastUnsolicitedData atomic.Int64 // when it last sent data that nobody had asked for, in Unix nanoseconds
	open          atomic.Bool  // it may get new attempts
	uid           string
	bootMS        int64
	entry         decision.Entry // as last listed
}

// NewEndpoint makes an endpoint that is open to attempts.
func NewEndpoint(id decision.EndpointID, address string) *Endpoint {
	e := &Endpoint{ID: id, Address: address}
	e.open.Store(true)
	return e
}

// In HTTP/1.1 nothing ties a response to its request, so data that an endpoint sends beyond a response must be seen
// before the next request is written to the connection, else it would be taken for that one's response.
const (
	// reuseDelay is how long a connection rests after a response at the least.
	reuseDelay = time.Millisecond
	// cautiousReuseDelay is the time by which data arrives that is some milliseconds late. A connection that has
	// rested so long is preferred, and one to an endpoint that has sent such data in the last unsolicitedMemory
	// rests so long in any case.
	cautiousReuseDelay = 20 * time.Millisecond
	unsolicitedDataWindow  = 10 * time.Second
)

// NoteUnsolicitedData notes that the endpoint has sent data beyond a response.
func (e *Endpoint) NoteUnsolicitedData() { e.lastUnsolicitedData.Store(time.Now().UnixNano()) }

// ReuseDelay is how long a connection to the endpoint rests after a response.
func (e *Endpoint) ReuseDelay() time.Duration {
	if time.Since(time.Unix(0, e.lastUnsolicitedData.Load())) < unsolicitedDataWindow {
		return cautiousReuseDelay
	}
	return reuseDelay
}

// IsOpen reports whether the endpoint may get new attempts.
func (e *Endpoint) IsOpen() bool { return e.open.Load() }

// Close closes the endpoint to new attempts; those in flight go on.
func (e *Endpoint) Close() { e.open.Store(false) }
