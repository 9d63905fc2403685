package dataplane

import (
	"sync"
	"time"

	"dykering/internal/core"
	"dykering/internal/http1"
)

// Idle connections to endpoints.
const (
	// keepAliveFraction is the part of an endpoint's own keep-alive time for which a connection to it is kept, so that the endpoint
	// does not close it under a request. Half or double: not measured.
	keepAliveFraction = 0.6
	// defaultKeepAlive is for endpoints that do not name a time. Half or double: not measured.
	defaultKeepAlive = 4 * time.Second
	// maxIdlePerEndpoint bounds the idle connections to one endpoint. Half or double: not measured.
	maxIdlePerEndpoint = 16
	// idleDescriptorDivisor is the inverse of the part of the file descriptors that idle connections may take.
	idleDescriptorDivisor = 8
	// minIdleLimit is the least bound on all idle connections.
	minIdleLimit = 8
	// maxKnownEndpoints bounds the endpoints whose shared state is kept.
	maxKnownEndpoints = 8192
)

// connectionPool has the idle connections to endpoints. Its methods may be called from any goroutine.
type connectionPool struct {
	mu           sync.Mutex
	maxIdle      int
	idle         map[string][]idleConnection // by the endpoint's id, oldest first
	idleCount    int
	sharedStates map[string]*core.Endpoint // what the connections to one endpoint share
}

type idleConnection struct {
	conn    *http1.EndpointConn
	expires time.Time
}

// newConnectionPool makes a pool for a process with a number of file descriptors.
func newConnectionPool(descriptors int) *connectionPool {
	return &connectionPool{
		maxIdle: max(descriptors/idleDescriptorDivisor, minIdleLimit),
		idle:    map[string][]idleConnection{}, sharedStates: map[string]*core.Endpoint{},
	}
}

// sharedState returns what the connections to one sharedState share.
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

// hasIdle reports whether there is an idle connection to an endpoint.
func (p *connectionPool) hasIdle(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[id]
	return len(idle) > 0 && time.Now().Before(idle[len(idle)-1].expires)
}

// get takes an idle connection that can carry a request; nil for none.
func (p *connectionPool) get(id string) *http1.EndpointConn {
	for {
		conn := p.popNewest(id)
		if conn == nil || conn.AwaitReusable() {
			return conn
		}
		conn.Close()
	}
}

// popNewest takes the idle connection that was used last, and closes those that have expired.
func (p *connectionPool) popNewest(id string) *http1.EndpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for {
		idle := p.idle[id]
		if len(idle) == 0 {
			delete(p.idle, id)
			return nil
		}
		newest := idle[len(idle)-1]
		p.idle[id] = idle[:len(idle)-1]
		p.idleCount--
		if now.Before(newest.expires) {
			return newest.conn
		}
		newest.conn.Close()
	}
}

// put keeps a connection for the next request to its endpoint, for a time.
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

// closeExpired closes the connections that were idle for too long.
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
