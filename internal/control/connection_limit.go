package control

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// limitedListener bounds the number of connections to a server. When a new connection exceeds the bound, it closes the
// oldest one. Requests are answered at once, so the oldest connection belongs to a client that has not sent a complete
// request.
type limitedListener struct {
	net.Listener
	maxConnections int

	mu   sync.Mutex
	open []net.Conn // oldest first
}

// Accept accepts the next connection. It closes the oldest one if maxConnections are open.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.maxConnections {
		l.open[0].Close() // makes the handler of the connection fail and end
		l.open = l.open[1:]
	}
	l.open = append(l.open, conn)
	return conn, nil
}

// trackState is the ConnState hook of the server. It removes connections that have ended.
func (l *limitedListener) trackState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.open, conn); i >= 0 {
		l.open = slices.Delete(l.open, i, i+1)
	}
}
