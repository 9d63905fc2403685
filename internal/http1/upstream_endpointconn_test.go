package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dykering/internal/core"
)

const testIDHeader = "X-Request-Id"

// dialResponder returns a connection to an endpoint that answers each request with its id.
func dialResponder(t *testing.T) *EndpointConn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close() })
	go func() {
		defer far.Close()
		reader := bufio.NewReader(far)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			fmt.Fprintf(far, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", testIDHeader, r.Header.Get(testIDHeader))
		}
	}()
	return NewEndpointConn(near, core.NewEndpoint(0, "endpoint"))
}

// exchange sends a request with an id and returns its response, whose body has been read.
func exchange(t *testing.T, c *EndpointConn, id string) *EndpointResponse {
	t.Helper()
	head := RequestHead(http.MethodGet, "/", "h.example", http.Header{testIDHeader: {id}}, 0)
	if complete, err := c.Write(id, head, nil, time.Now().Add(time.Second)); !complete || err != nil {
		t.Fatal(complete, err)
	}
	response, err := c.ReadResponse(testIDHeader, id)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response); err != nil {
		t.Fatal(err)
	}
	return response
}

// TWICE and REFUSED (issue 71): a response that an endpoint sends again has the id of a retry on the same connection.
func TestConnectionCarriesEachIDOnce(t *testing.T) {
	c := dialResponder(t)
	if !c.CanCarry("a") {
		t.Error("a new connection cannot carry a request")
	}
	exchange(t, c, "a")
	if c.CanCarry("a") || !c.CanCarry("b") {
		t.Errorf("after a: a %t, b %t", c.CanCarry("a"), c.CanCarry("b"))
	}
}

func TestConnectionEndsAfterTheMaximumNumberOfRequests(t *testing.T) {
	c := dialResponder(t)
	for i := range maxRequestsPerConn {
		reusable := exchange(t, c, fmt.Sprint(i)).Reusable()
		if isLast := i == maxRequestsPerConn-1; reusable == isLast {
			t.Fatalf("after request %d: reusable %t", i+1, reusable)
		}
	}
}
