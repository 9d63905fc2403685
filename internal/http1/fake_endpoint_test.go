package http1

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeEndpoint is an endpoint on raw sockets, which records each complete request and then behaves
// as the test wants.
type fakeEndpoint struct {
	target
	t      *testing.T
	ledger *requestLedger
	listen net.Listener
	behave behavior
}

// behavior is what an endpoint does with a complete request. It calls over before the last byte
// that it sends or the close that ends the attempt, and reports whether the connection stays open
// for another one.
type behavior func(c *net.TCPConn, over func()) (keep bool)

func newFakeEndpoint(t *testing.T, l *requestLedger, uid string, play behavior) *fakeEndpoint {
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeEndpoint{t: t, ledger: l, listen: listen, behave: play, target: target{
		UID: uid, Address: listen.Addr().String(),
		Zone: "z", Model: "m", Cell: 1, State: "Ready", Weight: 1,
	}}
	var all sync.WaitGroup
	var conns []net.Conn // all of them, under the ledger's mutex
	t.Cleanup(func() {
		listen.Close()
		l.mu.Lock()
		for _, c := range conns {
			c.Close() // what the sidecar's pool still keeps
		}
		l.mu.Unlock()
		all.Wait()
	})
	all.Go(func() {
		for {
			c, err := listen.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.conns++
			conns = append(conns, c)
			l.mu.Unlock()
			all.Go(func() { s.serve(c.(*net.TCPConn)) })
		}
	})
	return s
}

func (s *fakeEndpoint) serve(c *net.TCPConn) {
	defer c.Close()
	if s.behave == nil { // it breaks each connection off before it reads anything
		c.SetLinger(0)
		return
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	r := bufio.NewReader(c)
	for {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, in.Body); err != nil {
			return
		}
		var mu sync.Mutex
		over := false
		a := &attempted{server: s.UID, at: time.Now(), over: func() bool {
			mu.Lock()
			defer mu.Unlock()
			if over {
				return true
			}
			n, fault := peekByte(raw) // who gives an attempt up closes its connection first
			return n == 0 || fault != nil && !wouldBlock(fault)
		}}
		a.ran = !strings.HasPrefix(in.Header.Get("X-Test"), "never")
		for _, fault := range s.ledger.attempt(in.Header.Get("X-Txn"), a) {
			s.t.Error(fault)
		}
		if !s.behave(c, func() {
			mu.Lock()
			defer mu.Unlock()
			over = true
		}) {
			return
		}
	}
}

// respondWith ends an attempt with a text, and the connection with it unless keep is set.
func respondWith(text string, keep bool) behavior {
	return func(c *net.TCPConn, over func()) bool {
		over()
		io.WriteString(c, text)
		return keep
	}
}

// awaitHangup sends nothing until the server gives up.
func awaitHangup(c *net.TCPConn, over func()) bool {
	c.Read(make([]byte, 1))
	over()
	return false
}

// resetConnection ends an attempt with a reset.
func resetConnection(c *net.TCPConn, over func()) bool {
	over()
	c.SetLinger(0)
	return false
}

const (
	goodAnswer     = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	rejectedAnswer = "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
)

// endpointListOf is a line of a watch that reports endpoints in a state.
func endpointListOf(rev uint64, state string, servers ...*fakeEndpoint) string {
	l := endpointList{Rev: rev}
	for _, s := range servers {
		x := s.target
		x.State = state
		l.Targets = append(l.Targets, x)
	}
	line, _ := json.Marshal(l)
	return string(line)
}
