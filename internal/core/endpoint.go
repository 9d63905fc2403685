package core

import (
	"sync/atomic"
	"time"

	"dykering/internal/decision"
)

// Endpoint is one process of a listed endpoint at one address. When the process restarts or its address changes, a new
// Endpoint replaces it.
type Endpoint struct {
	ID               decision.EndpointID
	Address          string
	AwaitingResponse atomic.Int32 // number of attempts that wait for a response on an established connection

	lastUnsolicitedData atomic.Int64 // last time at which it sent data beyond a response, in Unix nanoseconds
	open                atomic.Bool  // accepts new attempts
	uid                 string
	bootMS              int64
	entry               decision.Entry // from the last list that had a valid target for it
}

// NewEndpoint creates an endpoint that is open to attempts.
func NewEndpoint(id decision.EndpointID, address string) *Endpoint {
	e := &Endpoint{ID: id, Address: address}
	e.open.Store(true)
	return e
}

// HTTP/1.1 responses carry no reference to their requests. Unsolicited data, which an endpoint sends beyond a response, must
// therefore be detected before the next request is written to the connection. Otherwise it would be taken for the response
// to that request.
const (
	// reuseDelay is the minimum time that a connection stays idle after a response.
	reuseDelay = time.Millisecond
	// cautiousReuseDelay is long enough to detect unsolicited data that arrives some milliseconds after a response. The
	// pool prefers connections that have been idle for this long. It is the minimum idle time for connections to an
	// endpoint that has sent unsolicited data within unsolicitedDataWindow.
	cautiousReuseDelay    = 20 * time.Millisecond
	unsolicitedDataWindow = 10 * time.Second
)

// NoteUnsolicitedData records that the endpoint has just sent data beyond a response.
func (e *Endpoint) NoteUnsolicitedData() { e.lastUnsolicitedData.Store(time.Now().UnixNano()) }

// ReuseDelay returns the minimum time that a connection to the endpoint stays idle after a response.
func (e *Endpoint) ReuseDelay() time.Duration {
	if time.Since(time.Unix(0, e.lastUnsolicitedData.Load())) < unsolicitedDataWindow {
		return cautiousReuseDelay
	}
	return reuseDelay
}

// IsOpen reports whether the endpoint accepts new attempts.
func (e *Endpoint) IsOpen() bool { return e.open.Load() }

// Close closes the endpoint to new attempts. Attempts in flight continue.
func (e *Endpoint) Close() { e.open.Store(false) }
