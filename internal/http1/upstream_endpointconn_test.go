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
	if err := c.Send(id, head, nil, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
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

// acceptHead returns a connection to an endpoint that reads a number of bytes, and then closes the connection or sends a
// response.
func acceptHead(t *testing.T, bytes int, closes bool, response string) *EndpointConn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	go func() {
		if _, err := io.CopyN(io.Discard, far, int64(bytes)); err != nil {
			return
		}
		if closes {
			far.Close()
			return
		}
		_, _ = io.WriteString(far, response) // the test reads the response, or has failed
	}()
	return NewEndpointConn(near, core.NewEndpoint(0, "endpoint"))
}

// TWICE (issue 77): a request whose body was not sent completely counted as one that the endpoint cannot have run.
func TestSendProgressTellsWhetherTheEndpointMayHaveTheHead(t *testing.T) {
	head, body := RequestHead(http.MethodPost, "/", "h.example", http.Header{testIDHeader: {"a"}}, 100), make([]byte, 100)
	for _, received := range []int{0, 1, len(head) - 1, len(head), len(head) + 1, len(head) + len(body) - 1} {
		c := acceptHead(t, received, true, "")
		sendErr := c.Send("a", head, body, time.Now().Add(time.Second))
		mayRun := received >= len(head)
		if (sendErr == nil) != mayRun {
			t.Errorf("%d of %d bytes of the head: error %v", received, len(head), sendErr)
		}
		progress := c.StopSending()
		if progress.ReachedBody() != mayRun || progress.IsComplete() || progress.Sent != int64(received) {
			t.Errorf("%d of %d bytes of the head: %+v", received, len(head), progress)
		}
	}
}

// TWICE and REFUSED (issue 77): nobody read the response of an endpoint that responds before it has read the body.
func TestResponseIsReadWhileTheRequestIsBeingSent(t *testing.T) {
	head, body := RequestHead(http.MethodPost, "/", "h.example", http.Header{testIDHeader: {"a"}}, 100), make([]byte, 100)
	c := acceptHead(t, len(head)+1, false, "HTTP/1.1 200 OK\r\n"+testIDHeader+": a\r\nContent-Length: 5\r\n\r\nhello")
	if err := c.Send("a", head, body, time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	response, err := c.ReadResponse(testIDHeader, "a")
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(response)
	if err != nil || string(got) != "hello" {
		t.Fatal(string(got), err)
	}
	if response.Reusable() {
		t.Error("the connection can carry another request where the rest of the body is due")
	}
}
