package dataplane

import (
	"sync"
	"time"

	"dykering/internal/core"
	"dykering/internal/http1"
)

const (
	// idleFor is how long an idle connection is kept where its endpoint does not say.
	idleFor = 4 * time.Second
	// idleEach bounds the idle connections to one endpoint.
	idleEach = 16
	// descriptorShare is the part of the descriptors that idle connections may take.
	descriptorShare = 8
)

// connections are the idle connections to endpoints.
type connections struct {
	mu        sync.Mutex
	most      int
	idle      map[string][]idleConn // by the endpoint's id, oldest first
	count     int
	endpoints map[string]*core.Endpoint
}

type idleConn struct {
	conn  *http1.EndpointConn
	until time.Time
}

func newConnections(descriptors int) *connections {
	return &connections{most: max(descriptors/descriptorShare, 8), idle: map[string][]idleConn{}, endpoints: map[string]*core.Endpoint{}}
}

const mostEndpoints = 8192

// endpoint is what connections share that go to one endpoint.
func (c *connections) endpoint(id, address string) *core.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[id]
	if e == nil {
		if len(c.endpoints) >= mostEndpoints {
			clear(c.endpoints)
		}
		e = core.NewEndpoint(0, address)
		c.endpoints[id] = e
	}
	return e
}

// has tells whether there is an idle connection to an endpoint.
func (c *connections) has(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[id]
	return len(idle) > 0 && time.Now().Before(idle[len(idle)-1].until)
}

// take gives an idle connection that can carry a request; nil for none.
func (c *connections) take(id string) *http1.EndpointConn {
	for {
		conn := c.newest(id)
		if conn == nil || conn.AwaitReusable() {
			return conn
		}
		conn.Close()
	}
}

func (c *connections) newest(id string) *http1.EndpointConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for {
		idle := c.idle[id]
		if len(idle) == 0 {
			delete(c.idle, id)
			return nil
		}
		last := idle[len(idle)-1]
		c.idle[id] = idle[:len(idle)-1]
		c.count--
		if now.Before(last.until) {
			return last.conn
		}
		last.conn.Close()
	}
}

// give keeps a connection for the next request to its endpoint, for a time.
func (c *connections) give(id string, conn *http1.EndpointConn, keep time.Duration) {
	conn.MarkIdle()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[id]) >= idleEach || c.count >= c.most {
		conn.Close()
		return
	}
	c.idle[id] = append(c.idle[id], idleConn{conn: conn, until: time.Now().Add(keep)})
	c.count++
}

// sweep closes connections whose time is over.
func (c *connections) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for id, idle := range c.idle {
		kept := idle[:0]
		for _, x := range idle {
			if now.Before(x.until) {
				kept = append(kept, x)
				continue
			}
			x.conn.Close()
			c.count--
		}
		if len(kept) == 0 {
			delete(c.idle, id)
			continue
		}
		c.idle[id] = kept
	}
}
