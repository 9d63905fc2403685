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
	idleShare   = 0.5
	idleDefault = 10 * time.Second // where connIdle is not told
)

// Conn is a connection to an endpoint; it carries one attempt at a time. It embeds an Idle.
type Conn interface {
	Close() error
	// Alive tells whether it can carry a request: its peer has neither closed it nor sent what nobody asked for.
	Alive() bool
	idle() *Idle
}

// Idle is what the pool keeps of a connection.
type Idle struct {
	Since    time.Time // when its last attempt ended
	endpoint *Endpoint // while it is idle:
	at       *list.Element
}

func (i *Idle) idle() *Idle { return i }

// pool holds the idle connections to all endpoints, and bounds all connections to them. The loop owns it.
type pool struct {
	idle    map[*Endpoint][]Conn // the most recently used last
	order   list.List            // of all idle ones, the longest idle first
	open    int                  // connections in use, idle or being made
	most    int
	maxIdle time.Duration
}

func newPool(s *settings.Settings, most int) pool {
	p := pool{idle: map[*Endpoint][]Conn{}, maxIdle: idleDefault, most: most}
	if idle := s.ConnIdle; idle > 0 {
		p.maxIdle = time.Duration(idleShare * float64(idle))
	}
	return p
}

// acquire takes the most recently used connection that has rested, or else the one that has for longest; nil asks for
// a new one. It is false when there may be no further connection. Whether the connection is alive shows when it is used.
func (p *pool) acquire(e *Endpoint, now time.Time) (c Conn, ok bool) {
	conns := p.idle[e]
	if len(conns) == 0 {
		return nil, p.room()
	}
	if now.Sub(conns[len(conns)-1].idle().Since) >= p.maxIdle {
		p.closeIdle(e) // the others are older
		return nil, p.room()
	}
	c = conns[0]
	for _, x := range slices.Backward(conns) {
		if now.Sub(x.idle().Since) >= rested {
			c = x
			break
		}
	}
	p.take(c)
	return c, true
}

// room takes a place for a connection.
func (p *pool) room() bool {
	if p.open >= p.most {
		oldest := p.order.Front()
		if oldest == nil {
			return false
		}
		p.close(oldest.Value.(Conn))
	}
	p.open++
	return true
}

// release takes a connection back after an attempt; nil if it is closed.
func (p *pool) release(e *Endpoint, c Conn) {
	switch {
	case c == nil:
		p.open--
	case !e.Open():
		c.Close()
		p.open--
	default:
		*c.idle() = Idle{Since: time.Now(), endpoint: e, at: p.order.PushBack(c)}
		p.idle[e] = append(p.idle[e], c)
	}
}

// take takes a connection out of the idle ones.
func (p *pool) take(c Conn) {
	e := c.idle().endpoint
	p.order.Remove(c.idle().at)
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
	p.take(c)
	c.Close()
	p.open--
}

func (p *pool) closeIdle(e *Endpoint) {
	for _, c := range slices.Clone(p.idle[e]) {
		p.close(c)
	}
}

// sweep closes connections that have been idle for too long or whose peer has closed them.
func (p *pool) sweep(now time.Time) {
	for at := p.order.Front(); at != nil; {
		c := at.Value.(Conn)
		at = at.Next()
		if now.Sub(c.idle().Since) >= p.maxIdle || !c.Alive() {
			p.close(c)
		}
	}
}
