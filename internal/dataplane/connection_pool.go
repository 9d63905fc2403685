package dataplane

import (
	"slices"
	"sync"
	"time"

	"dykering/internal/core"
	"dykering/internal/http1"
)

// Limits of the idle connections to endpoints.
const (
	// keepAliveFraction is the fraction of an endpoint's keep-alive timeout for which the proxy keeps an idle connection. The
	// proxy drops the connection first, so that the endpoint does not close it while a request is being sent.
	keepAliveFraction = 0.6
	// defaultKeepAlive is how long an idle connection is kept if the endpoint does not announce a keep-alive timeout.
	defaultKeepAlive = 4 * time.Second
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
	// idleDescriptorDivisor is the divisor that limits the idle connections of the pool to an eighth of the file descriptors.
	idleDescriptorDivisor = 8
	// minIdleLimit is the lowest limit on the idle connections of the pool, however few file descriptors the process has.
	minIdleLimit = 8
	// maxKnownEndpoints bounds the endpoints whose shared state is kept.
	maxKnownEndpoints = 8192
)

// connectionPool holds the idle connections to endpoints. It is safe for concurrent use.
type connectionPool struct {
	mu           sync.Mutex
	maxIdle      int
	idle         map[string][]idleConnection // by endpoint ID; the least recently used connection is first
	idleCount    int                         // connections in idle
	sharedStates map[string]*core.Endpoint   // by endpoint ID; state that all connections to an endpoint share
}

type idleConnection struct {
	conn    *http1.EndpointConn
	expires time.Time
}

// newConnectionPool creates a pool whose size limit follows from the process's limit on file descriptors.
func newConnectionPool(descriptors int) *connectionPool {
	return &connectionPool{
		maxIdle: max(descriptors/idleDescriptorDivisor, minIdleLimit),
		idle:    map[string][]idleConnection{}, sharedStates: map[string]*core.Endpoint{},
	}
}

// sharedState returns the state that all connections to one endpoint share. It creates the state at the first call for an
// endpoint.
func (p *connectionPool) sharedState(id, address string) *core.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.sharedStates[id]
	if e == nil {
		if len(p.sharedStates) >= maxKnownEndpoints {
			clear(p.sharedStates)
		}
		e = core.NewEndpoint(0, address)
		p.sharedStates[id] = e
	}
	return e
}

// hasIdle reports whether the pool has an unexpired idle connection to an endpoint. Selection prefers such an endpoint
// among endpoints of equal load.
func (p *connectionPool) hasIdle(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[id]
	return len(idle) > 0 && time.Now().Before(idle[len(idle)-1].expires)
}

// get removes a reusable idle connection that may carry a request from the pool and returns it, or nil if the pool has none for
// the endpoint.
func (p *connectionPool) get(id, requestID string) *http1.EndpointConn {
	for {
		conn := p.popNewest(id, requestID)
		if conn == nil || conn.AwaitReusable() {
			return conn
		}
		conn.Close()
	}
}

// popNewest removes and returns the most recently used idle connection that may carry a request, or nil if the pool has none for
// the endpoint. It closes the expired connections that it comes across.
func (p *connectionPool) popNewest(id, requestID string) *http1.EndpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(p.idle[id]) - 1; i >= 0; i-- {
		candidate := p.idle[id][i]
		expired := !now.Before(candidate.expires)
		if !expired && !candidate.conn.CanCarry(requestID) {
			continue
		}
		p.removeAt(id, i)
		if !expired {
			return candidate.conn
		}
		candidate.conn.Close()
	}
	return nil
}

// removeAt removes an idle connection from the pool. The caller must hold p.mu.
func (p *connectionPool) removeAt(id string, index int) {
	p.idle[id] = slices.Delete(p.idle[id], index, index+1)
	p.idleCount--
	if len(p.idle[id]) == 0 {
		delete(p.idle, id)
	}
}

// put adds an idle connection to the pool for at most the time keepAlive. It closes the connection if the pool is full.
func (p *connectionPool) put(id string, conn *http1.EndpointConn, keepAlive time.Duration) {
	conn.MarkIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdlePerEndpoint || p.idleCount >= p.maxIdle {
		conn.Close()
		return
	}
	p.idle[id] = append(p.idle[id], idleConnection{conn: conn, expires: time.Now().Add(keepAlive)})
	p.idleCount++
}

// closeExpired closes the connections whose keep-alive time has passed.
func (p *connectionPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for id, idle := range p.idle {
		kept := idle[:0]
		for _, connection := range idle {
			if now.Before(connection.expires) {
				kept = append(kept, connection)
				continue
			}
			connection.conn.Close()
			p.idleCount--
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}
