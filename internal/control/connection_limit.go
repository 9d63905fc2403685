package control

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// limitedListener bounds the connections to a server. Beyond the bound the oldest is closed: a call takes no time, so that
// the client which has been connected the longest is one that sends nothing.
type limitedListener struct {
	net.Listener
	maxConnections int

	mu   sync.Mutex
	open []net.Conn // oldest first
}

// Accept accepts the next connection, and closes the oldest one where there are too many.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.maxConnections {
		l.open[0].Close() // its handler fails by that, and ends
		l.open = l.open[1:]
	}
	l.open = append(l.open, conn)
	return conn, nil
}

// trackState is the server's ConnState: it forgets connections that have ended.
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
