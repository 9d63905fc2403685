package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dykering/internal/config"
)

// handoverRig is a server that can be replaced by a successor; see startSuccessor. Both use the same
// listening socket and handover directory.
type handoverRig struct {
	*rig
	targets    []target
	dir        string
	descriptor func() *int
	// The pieces of the endpoint's response, and summaries of the requests that it received.
	pieces, requests chan string
}

// startHandover starts a server and its endpoint. If serve is nil, the endpoint uses respondInSteps.
func startHandover(t *testing.T, serve http.HandlerFunc) *handoverRig {
	t.Helper()
	_, descriptor := sharedSocket(t)
	h := &handoverRig{pieces: make(chan string), requests: make(chan string, 8), dir: t.TempDir(), descriptor: descriptor}
	t.Cleanup(func() { close(h.pieces) })
	if serve == nil {
		serve = h.respondInSteps
	}
	h.targets = []target{endpointServing(t, "s-1", serve)}
	h.rig = h.startSuccessor(t)
	return h
}

// nextRequest returns the summary of the next request at the endpoint. It fails the test if none is
// received within testTimeout.
func (h *handoverRig) nextRequest() (request string) {
	h.t.Helper()
	select {
	case request = <-h.requests:
	case <-time.After(testTimeout):
		h.t.Fatalf("the endpoint received no request within %v", testTimeout)
	}
	return request
}

// sendPiece sends the next piece of the endpoint's response. It fails the test if the endpoint does
// not accept the piece within testTimeout.
func (h *handoverRig) sendPiece(piece string) {
	h.t.Helper()
	select {
	case h.pieces <- piece:
	case <-time.After(testTimeout):
		h.t.Fatalf("the endpoint accepted no piece of its response within %v", testTimeout)
	}
}

// respondInSteps is a handler that reads the complete request, records a summary of it, and writes the
// response in the pieces that sendPiece sends. An empty piece ends the connection.
func (h *handoverRig) respondInSteps(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	c, _, hijackErr := http.NewResponseController(w).Hijack()
	h.requests <- fmt.Sprintf("%s %d %x %v", r.Header.Get("X-Txn"), len(body), body[:min(8, len(body))], errors.Join(err, hijackErr))
	if hijackErr != nil {
		return
	}
	defer c.Close()
	for piece := range h.pieces {
		if _, err := io.WriteString(c, piece); piece == "" || err != nil {
			return
		}
	}
}

// startSuccessor starts a server that replaces the previous one.
func (h *handoverRig) startSuccessor(t *testing.T) *rig {
	t.Helper()
	rg := startWith(t, 1, 1024, func(c *config.Config) { c.Accept, c.Handover = h.descriptor(), h.dir }, h.targets...)
	rg.server.shutdownTimeout = time.Minute // longer than any test
	rg.server.handoverGrace = 0
	rg.until("the server can serve", rg.server.CanServe) // its /ready check may be answered by another process on the socket
	return rg
}

// awaitAccepted waits until the server has accepted a client's connection. A connection that is still
// in the backlog is accepted by the successor, or lost if there is none.
func (rg *rig) awaitAccepted(c net.Conn) {
	rg.t.Helper()
	clients := &rg.server.clients
	rg.until("the connection is accepted", func() bool {
		clients.mu.Lock()
		defer clients.mu.Unlock()
		for i := range clients.byState {
			for element := clients.byState[i].Front(); element != nil; element = element.Next() {
				if element.Value.(*downstreamConn).RemoteAddr().String() == c.LocalAddr().String() {
					return true
				}
			}
		}
		return false
	})
}

// awaitAllRead waits until the server has read all input on its connections.
func (rg *rig) awaitAllRead() {
	rg.t.Helper()
	clients := &rg.server.clients
	rg.until("all input has been read", func() (done bool) {
		clients.mu.Lock()
		defer clients.mu.Unlock()
		done = true
		for i := range clients.byState {
			for element := clients.byState[i].Front(); element != nil; element = element.Next() {
				done = done && !element.Value.(*downstreamConn).hasInput()
			}
		}
		return done
	})
}

// awaitState waits until the server's only connection is in a state.
func (rg *rig) awaitState(state connState) {
	rg.t.Helper()
	clients := &rg.server.clients
	rg.until(fmt.Sprint("the only connection is in state ", state), func() bool {
		http.DefaultClient.CloseIdleConnections()
		clients.mu.Lock()
		defer clients.mu.Unlock()
		return clients.byState[state].Len() == 1 && clients.open == 1
	})
}

// splitAt splits a text at offsets. Negative offsets count from the end.
func splitAt(text string, at ...int) (pieces []string) {
	last := 0
	for _, n := range at {
		if n < 0 {
			n += len(text)
		}
		pieces = append(pieces, text[last:n])
		last = n
	}
	return append(pieces, text[last:])
}

// atEachCut runs a test for each form of a text, which is given in pieces. The test is run for each
// number of pieces that are sent before the shutdown, with a successor and without.
func atEachCut(t *testing.T, forms map[string][]string, test func(*testing.T, *handoverRig, string, []string, int, bool)) {
	t.Helper()
	for name, pieces := range forms {
		for after := range len(pieces) + 1 {
			for _, hasSuccessor := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s after %d, succeeded %v", name, after, hasSuccessor), func(t *testing.T) {
					t.Parallel()
					test(t, startHandover(t, nil), name, pieces, after, hasSuccessor)
				})
			}
		}
	}
}

// chunkedText returns a text as a chunked body with extensions and a trailer. The length of the text
// must be a multiple of 50000.
func chunkedText(text string) (chunks string) {
	for at := 0; at < len(text); at += 50000 {
		chunks += fmt.Sprintf("%x;of=6\r\n%s\r\n", 50000, text[at:at+50000])
	}
	return chunks + "0\r\nX-Sum: done\r\n\r\n"
}
