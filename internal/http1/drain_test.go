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

// During a drain /ready fails at once, requests are still served and their connections closed with
// the answer, and idle connections are closed. Resume ends the drain.
func TestDrainingServerAnswersThenClosesConnections(t *testing.T) {
	arrived, respond := make(chan bool), make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-respond
		fmt.Fprint(w, "ok")
	}))
	rg.server.drainGrace = 4 * time.Second // for slow machines
	conns := rg.openIdleConns(4)
	answer := make(chan *http.Response)
	exchange := func(c *net.TCPConn) { answer <- rg.send(c, rg.request("once", 9*time.Second)) }
	go exchange(conns[0])
	<-arrived
	rg.server.Drain()
	rg.server.Drain()
	if status, _ := rg.sendRaw("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusServiceUnavailable {
		t.Errorf("/ready answers %d", status)
	}
	if !rg.server.CanServe() {
		t.Error("CanServe is false during a drain")
	}
	go func() {
		dialed, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
		if err != nil {
			t.Error(err)
		}
		exchange(dialed.(*net.TCPConn))
	}()
	<-arrived
	close(respond)
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
	rg.until("the grace of the drain has passed", func() bool {
		_, graceOver := rg.server.redirectAnswer()
		return graceOver
	})
	if res := rg.sendOnce("once"); res.StatusCode != http.StatusServiceUnavailable ||
		res.Header.Get("Retry-After") == "" || !res.Close {
		t.Errorf("after the grace: %+v", res)
	}
	rg.server.Resume()
	rg.server.Resume()
	if status, _ := rg.sendRaw("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusOK {
		t.Errorf("/ready answers %d after the drain", status)
	}
	go func() { <-arrived }()
	if res := rg.sendOnce("once"); res.StatusCode != http.StatusOK || res.Close {
		t.Errorf("after the drain: %+v", res)
	}
}

// A request that has been received when its idle connection expires is served, whether its
// goroutine has seen it or not.
func TestRequestReceivedAtIdleExpiryIsServed(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	for range 100 {
		c := rg.openIdleConns(1)[0]
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
