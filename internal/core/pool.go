package core

import (
	"container/list"
	"slices"
	"time"

	"dykering/internal/settings"
)

const (
	// idleTimeoutShare is the share of ConnIdle after which an idle connection is closed: a request that is written
	// while the endpoint closes the connection would be lost.
	idleTimeoutShare = 0.5
	// defaultConnIdle is how long a connection is kept where the site does not state ConnIdle.
	defaultConnIdle = 10 * time.Second
)

// Conn is a connection to an endpoint that carries one attempt at a time. It embeds a PoolEntry.
type Conn interface {
	Close() error
	// Alive reports whether it can carry a request: its peer has neither closed it nor sent unsolicited data.
	Alive() bool
	poolEntry() *PoolEntry
}

// PoolEntry is the pool's state of one connection.
type PoolEntry struct {
	IdleSince time.Time // end of its last attempt
	endpoint  *Endpoint // while it is idle
	element   *list.Element
}

func (e *PoolEntry) poolEntry() *PoolEntry { return e }

// pool holds the idle connections to all endpoints, and bounds the number of all connections to them. The loop owns it.
type pool struct {
	idle        map[*Endpoint][]Conn // the most recently used last
	oldestFirst list.List            // all idle connections, the longest idle first
	total       int                  // connections in use, idle or being made
	maxTotal         int                  // bound on total
	maxIdle     time.Duration        // an older idle connection is closed
}

// newPool makes a pool for at most maxConns connections.
func newPool(s *settings.Settings, maxConns int) pool {
	p := pool{idle: map[*Endpoint][]Conn{}, maxIdle: defaultConnIdle, maxTotal: maxConns}
	if idle := s.ConnIdle; idle > 0 {
		p.maxIdle = time.Duration(idleTimeoutShare * float64(idle))
	}
	return p
}

// acquire takes an idle connection to an endpoint: the most recently used one that has rested for cautiousReuseDelay, or
// else the one that has rested longest. Where there is none it reserves a new connection, and returns nil; it is false
// where there may be no further connection. Whether the connection is alive shows when it is used.
func (p *pool) acquire(e *Endpoint, now time.Time) (c Conn, ok bool) {
	conns := p.idle[e]
	if len(conns) == 0 {
		return nil, p.reserve()
	}
	if now.Sub(conns[len(conns)-1].poolEntry().IdleSince) >= p.maxIdle {
		p.closeIdle(e) // the others are older
		return nil, p.reserve()
	}
	c = conns[0]
	for _, x := range slices.Backward(conns) {
		if now.Sub(x.poolEntry().IdleSince) >= cautiousReuseDelay {
			c = x
			break
		}
	}
	p.remove(c)
	return c, true
}

// reserve counts a new connection. Where the bound is reached it closes the longest idle one, and is false without one.
func (p *pool) reserve() bool {
	if p.total >= p.maxTotal {
		oldest := p.oldestFirst.Front()
		if oldest == nil {
			return false
		}
		p.close(oldest.Value.(Conn))
	}
	p.total++
	return true
}

// release takes a connection back after an attempt; nil if it was closed.
func (p *pool) release(e *Endpoint, c Conn) {
	switch {
	case c == nil:
		p.total--
	case !e.IsOpen():
		c.Close()
		p.total--
	default:
		*c.poolEntry() = PoolEntry{IdleSince: time.Now(), endpoint: e, element: p.oldestFirst.PushBack(c)}
		p.idle[e] = append(p.idle[e], c)
	}
}

// remove takes a connection out of the idle ones.
func (p *pool) remove(c Conn) {
	e := c.poolEntry().endpoint
	p.oldestFirst.Remove(c.poolEntry().element)
	conns := p.idle[e]
	i := slices.Index(conns, c)
	if conns = slices.Delete(conns, i, i+1); len(conns) == 0 {
		delete(p.idle, e)
	} else {
		p.idle[e] = conns
	}
}

// close closes an idle connection.
func (p *pool) close(c Conn) {
	p.remove(c)
	c.Close()
	p.total--
}

// closeIdle closes the idle connections to an endpoint.
func (p *pool) closeIdle(e *Endpoint) {
	for _, c := range slices.Clone(p.idle[e]) {
		p.close(c)
	}
}

// sweep closes connections that have been idle for too long or are no longer alive.
func (p *pool) sweep(now time.Time) {
	for at := p.oldestFirst.Front(); at != nil; {
		c := at.Value.(Conn)
		at = at.Next()
		if now.Sub(c.poolEntry().IdleSince) >= p.maxIdle || !c.Alive() {
			p.close(c)
		}
	}
}
