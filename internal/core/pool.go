package core

import (
	"container/list"
	"slices"
	"time"

	"dykering/internal/settings"
)

const (
	// idleShare is the part of connIdle after which an idle connection is retired: a request that is written
	// while the endpoint closes it would be lost as a reset.
	idleTimeoutShare = 0.5
	defaultConnIdle  = 10 * time.Second // where connIdle is not told
)

// Conn is a connection to an endpoint; it carries one attempt at a time. It embeds an Idle.
type Conn interface {
	Close() error
	// Alive tells whether it can carry a request: its peer has neither closed it nor sent what nobody asked for.
	Alive() bool
	poolEntry() *PoolEntry
}

// Idle is what the pool keeps of a connection.
type PoolEntry struct {
	IdleSince time.Time // when its last attempt ended
	endpoint  *Endpoint // while it is idle:
	element   *list.Element
}

func (i *PoolEntry) poolEntry() *PoolEntry { return i }

// pool holds the idle connections to all endpoints, and bounds all connections to them. The loop owns it.
type pool struct {
	idle        map[*Endpoint][]Conn // the most recently used last
	oldestFirst list.List            // of all idle ones, the longest idle first
	total       int                  // connections in use, idle or being made
	max         int
	maxIdle     time.Duration
}

func newPool(s *settings.Settings, most int) pool {
	p := pool{idle: map[*Endpoint][]Conn{}, maxIdle: defaultConnIdle, max: most}
	if idle := s.ConnIdle; idle > 0 {
		p.maxIdle = time.Duration(idleTimeoutShare * float64(idle))
	}
	return p
}

// acquire takes the most recently used connection that has rested, or else the one that has for longest; nil asks for
// a new one. It is false when there may be no further connection. Whether the connection is alive shows when it is used.
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

// room takes a place for a connection.
func (p *pool) reserve() bool {
	if p.total >= p.max {
		oldest := p.oldestFirst.Front()
		if oldest == nil {
			return false
		}
		p.close(oldest.Value.(Conn))
	}
	p.total++
	return true
}

// release takes a connection back after an attempt; nil if it is closed.
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

// take takes a connection out of the idle ones.
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

func (p *pool) closeIdle(e *Endpoint) {
	for _, c := range slices.Clone(p.idle[e]) {
		p.close(c)
	}
}

// sweep closes connections that have been idle for too long or whose peer has closed them.
func (p *pool) sweep(now time.Time) {
	for at := p.oldestFirst.Front(); at != nil; {
		c := at.Value.(Conn)
		at = at.Next()
		if now.Sub(c.poolEntry().IdleSince) >= p.maxIdle || !c.Alive() {
			p.close(c)
		}
	}
}
