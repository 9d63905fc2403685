package http1

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// standIn is a server on raw sockets, that writes down each whole request and then does what it is told.
type standIn struct {
	target
	t      *testing.T
	l      *ledger
	listen net.Listener
	play   act
}

// act is what a server does with a request that has come whole. It calls over before the last byte that it sends or
// the close that ends the attempt, and tells whether the connection may bring another.
type act func(c *net.TCPConn, over func()) (keep bool)

func newStandIn(t *testing.T, l *ledger, uid string, play act) *standIn {
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{t: t, l: l, listen: listen, play: play, target: target{UID: uid, Address: listen.Addr().String(),
		Zone: "z", Model: "m", Cell: 1, State: "Ready", Weight: 1}}
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

func (s *standIn) serve(c *net.TCPConn) {
	defer c.Close()
	if s.play == nil { // it breaks each connection off before it reads anything
		c.SetLinger(0)
		return
	}
	c.SetDeadline(time.Now().Add(patience))
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
			return n == 0 || fault != nil && fault != syscall.EAGAIN && fault != syscall.EINTR
		}}
		a.ran = !strings.HasPrefix(in.Header.Get("X-Test"), "never")
		for _, fault := range s.l.attempt(in.Header.Get("X-Txn"), a) {
			s.t.Error(fault)
		}
		if !s.play(c, func() {
			mu.Lock()
			defer mu.Unlock()
			over = true
		}) {
			return
		}
	}
}

// says ends an attempt with a text, and the connection with it unless it is kept.
func says(text string, keep bool) act {
	return func(c *net.TCPConn, over func()) bool {
		over()
		io.WriteString(c, text)
		return keep
	}
}

// awaitsGoing says nothing until the sidecar gives up.
func awaitsGoing(c *net.TCPConn, over func()) bool {
	c.Read(make([]byte, 1))
	over()
	return false
}

func breaks(c *net.TCPConn, over func()) bool {
	over()
	c.SetLinger(0)
	return false
}

const (
	goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	turnedAway = "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
)

// endpointListOf is a line of a watch that names servers in a state.
func endpointListOf(rev uint64, state string, servers ...*standIn) string {
	l := endpointList{Rev: rev}
	for _, s := range servers {
		x := s.target
		x.State = state
		l.Targets = append(l.Targets, x)
	}
	line, _ := json.Marshal(l)
	return string(line)
}
