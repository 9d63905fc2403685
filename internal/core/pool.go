package core

import (
	"container/list"
	"slices"
	"time"

	"dykering/internal/settings"
)

const (
	// idleTimeoutShare is the share of the endpoints' idle timeout (ConnIdle) after which the pool closes an idle
	// connection. A request that is written while the endpoint closes the connection would be lost.
	idleTimeoutShare = 0.5
	// defaultConnIdle is the idle timeout of the pool if the settings do not specify ConnIdle.
	defaultConnIdle = 10 * time.Second
)

// Conn is a connection to an endpoint that carries one attempt at a time. Implementations embed a PoolEntry.
type Conn interface {
	Close() error
	// Alive reports whether the connection can carry a request. It returns false if the peer has closed the connection
	// or has sent unsolicited data.
	Alive() bool
	poolEntry() *PoolEntry
}

// PoolEntry is the state that the pool keeps for one connection.
type PoolEntry struct {
	IdleSince time.Time     // end of the last attempt on the connection
	endpoint  *Endpoint     // set while the connection is idle
	element   *list.Element // position in pool.oldestFirst while the connection is idle
}

func (e *PoolEntry) poolEntry() *PoolEntry { return e }

// pool holds the idle connections to all endpoints, and bounds the total number of connections. The loop owns it.
type pool struct {
	idle        map[*Endpoint][]Conn // by endpoint, the most recently used connection last
	oldestFirst list.List            // all idle connections, the one that has been idle longest first
	total       int                  // connections that are in use, idle or being established
	maxTotal    int                  // bound on total
	maxIdle     time.Duration        // idle connections are closed after this time
}

// newPool creates a pool for at most maxConns connections.
func newPool(s *settings.Settings, maxConns int) pool {
	p := pool{idle: map[*Endpoint][]Conn{}, maxIdle: defaultConnIdle, maxTotal: maxConns}
	if idle := s.ConnIdle; idle > 0 {
		p.maxIdle = time.Duration(idleTimeoutShare * float64(idle))
	}
	return p
}

// acquire returns an idle connection to an endpoint: the most recently used one that has been idle for cautiousReuseDelay,
// or else the one that has been idle longest. If the endpoint has no idle connection, or only expired ones, acquire reserves a
// new connection and returns nil. It returns false if reserve does. It does not check whether the connection is alive; the
// caller notices that on use.
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
	for _, candidate := range slices.Backward(conns) {
		if now.Sub(candidate.poolEntry().IdleSince) >= cautiousReuseDelay {
			c = candidate
			break
		}
	}
	p.remove(c)
	return c, true
}

// reserve counts a new connection. If the limit is reached, it first closes the connection that has been idle longest. It
// returns false if the limit is reached and no connection is idle.
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

// release returns a connection to the pool after an attempt. A nil connection was closed. A connection to an endpoint that
// is closed to new attempts is closed too.
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

// remove removes a connection from the idle connections.
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

// close closes an idle connection and removes it from the pool.
func (p *pool) close(c Conn) {
	p.remove(c)
	c.Close()
	p.total--
}

// closeIdle closes all idle connections to an endpoint.
func (p *pool) closeIdle(e *Endpoint) {
	for _, c := range slices.Clone(p.idle[e]) {
		p.close(c)
	}
}

// sweep closes the idle connections that have exceeded maxIdle or are no longer alive.
func (p *pool) sweep(now time.Time) {
	for element := p.oldestFirst.Front(); element != nil; {
		c := element.Value.(Conn)
		element = element.Next()
		if now.Sub(c.poolEntry().IdleSince) >= p.maxIdle || !c.Alive() {
			p.close(c)
		}
	}
}
