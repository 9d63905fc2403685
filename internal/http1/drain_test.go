package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A drain makes /ready fail at once, serves clients that still come and closes their connections,
// closes idle ones, and ends with Resume.
func TestDrainingServerAnswersThenClosesConnections(t *testing.T) {
	came, serve := make(chan bool), make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		came <- true
		<-serve
		fmt.Fprint(w, "ok")
	}))
	rg.server.drainGrace = 4 * time.Second // for slow machines
	conns := rg.connect(4)
	answer := make(chan *http.Response)
	ask := func(c *net.TCPConn) { answer <- rg.send(c, rg.request("once", 9*time.Second)) }
	go ask(conns[0])
	<-came
	rg.server.Drain()
	rg.server.Drain()
	if status, _ := rg.raw("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusServiceUnavailable {
		t.Errorf("/ready answers %d", status)
	}
	if !rg.server.CanServe() {
		t.Error("a sidecar that drains serves what comes")
	}
	go func() {
		dialed, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
		if err != nil {
			t.Error(err)
		}
		ask(dialed.(*net.TCPConn))
	}()
	<-came
	close(serve)
	for range 2 {
		if res := <-answer; res == nil || res.StatusCode != http.StatusOK || !res.Close {
			t.Errorf("answer %+v", res)
		}
	}
	for i, c := range conns[1:] {
		c.SetDeadline(time.Now().Add(testTimeout))
		if n, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("idle connection %d: %d bytes, %v", i, n, err)
		}
	}
	rg.until("nobody is asked to be here", func() bool {
		_, away := rg.server.redirectAnswer()
		return away
	})
	if res := rg.once("once"); res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || !res.Close {
		t.Errorf("long after: %+v", res)
	}
	rg.server.Resume()
	rg.server.Resume()
	if status, _ := rg.raw("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusOK {
		t.Errorf("/ready answers %d after the drain", status)
	}
	go func() { <-came }()
	if res := rg.once("once"); res.StatusCode != http.StatusOK || res.Close {
		t.Errorf("after the drain: %+v", res)
	}
}

// A request that has been received when its idle connection expires is served, whether its
// goroutine has seen it or not.
func TestRequestReceivedAtIdleExpiryIsServed(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	for range 100 {
		c := rg.connect(1)[0]
		if err := rg.request("once", 9*time.Second).Write(c); err != nil {
			t.Fatal(err)
		}
		rg.server.clients.expire(0, 0)
		c.SetDeadline(time.Now().Add(testTimeout))
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("answer %+v, %v", res, err)
		}
		c.Close()
	}
}
