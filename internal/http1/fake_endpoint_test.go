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

// fakeEndpoint is an endpoint on raw sockets. It records each complete request and then does what the
// test's behavior defines.
type fakeEndpoint struct {
	target
	t      *testing.T
	ledger *requestLedger
	listen net.Listener
	// Nil for an endpoint that resets each connection.
	behave behavior
}

// behavior answers a complete request. It calls markEnded before it sends the last byte or closes the
// connection, and reports whether the connection stays open for another request.
type behavior func(c *net.TCPConn, markEnded func()) (keep bool)

func newFakeEndpoint(t *testing.T, l *requestLedger, uid string, behave behavior) *fakeEndpoint {
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeEndpoint{t: t, ledger: l, listen: listen, behave: behave, target: target{
		UID: uid, Address: listen.Addr().String(),
		Zone: "z", Model: "m", Cell: 1, State: "Ready", Weight: 1,
	}}
	var goroutines sync.WaitGroup
	var conns []net.Conn // all accepted connections; guarded by the ledger's mutex
	t.Cleanup(func() {
		listen.Close()
		l.mu.Lock()
		for _, c := range conns {
			c.Close() // the server's pool may still hold the other end
		}
		l.mu.Unlock()
		goroutines.Wait()
	})
	goroutines.Go(func() {
		for {
			c, err := listen.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.conns++
			conns = append(conns, c)
			l.mu.Unlock()
			goroutines.Go(func() { e.serve(c.(*net.TCPConn)) })
		}
	})
	return e
}

func (e *fakeEndpoint) serve(c *net.TCPConn) {
	defer c.Close()
	if e.behave == nil { // reset the connection before reading from it
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
		ended := false
		a := &attempted{server: e.UID, at: time.Now(), ended: func() bool {
			mu.Lock()
			defer mu.Unlock()
			if ended {
				return true
			}
			n, err := peekByte(raw) // a cancelled attempt has closed its connection
			return n == 0 || err != nil && !wouldBlock(err)
		}}
		a.executed = !strings.HasPrefix(in.Header.Get("X-Test"), "never")
		for _, violation := range e.ledger.attempt(in.Header.Get("X-Txn"), a) {
			e.t.Error(violation)
		}
		if !e.behave(c, func() {
			mu.Lock()
			defer mu.Unlock()
			ended = true
		}) {
			return
		}
	}
}

// respondWith returns the behavior that sends a text, and closes the connection unless keep is set.
func respondWith(text string, keep bool) behavior {
	return func(c *net.TCPConn, markEnded func()) bool {
		markEnded()
		io.WriteString(c, text)
		return keep
	}
}

// awaitHangup sends nothing and waits until the server closes the connection.
func awaitHangup(c *net.TCPConn, markEnded func()) bool {
	c.Read(make([]byte, 1))
	markEnded()
	return false
}

// resetConnection resets the connection without an answer.
func resetConnection(c *net.TCPConn, markEnded func()) bool {
	markEnded()
	c.SetLinger(0)
	return false
}

const (
	goodResponse     = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	rejectedResponse = "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
)

// endpointListOf returns a line of the discovery's watch that reports endpoints in a state.
func endpointListOf(rev uint64, state string, endpoints ...*fakeEndpoint) string {
	l := endpointList{Rev: rev}
	for _, s := range endpoints {
		x := s.target
		x.State = state
		l.Targets = append(l.Targets, x)
	}
	line, _ := json.Marshal(l)
	return string(line)
}
