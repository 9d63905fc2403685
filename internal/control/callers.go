package control

import (
	"net"
	"net/http"
	"sync"
)

// callers bounds the connections to a server. Where all are taken the oldest goes: a call takes no time, so the
// one that has been connected the longest is one that says nothing.
type callers struct {
	net.Listener
	most int

	mu   sync.Mutex
	open []net.Conn // in the order in which they came
}

// Accept takes the next connection in, and makes room for it.
func (c *callers) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.most {
		c.open[0].Close() // its handler sees that and ends
		c.open = c.open[1:]
	}
	c.open = append(c.open, conn)
	return conn, nil
}

// state follows net/http's word of a connection.
func (c *callers) state(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, x := range c.open {
		if x == conn {
			c.open = append(c.open[:i:i], c.open[i+1:]...)
			return
		}
	}
}
