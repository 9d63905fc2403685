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

// handoverRig is a server and, from startSuccessor on, the process that serves in its place; both
// share a directory.
type handoverRig struct {
	*rig
	targets    []target
	dir        string
	descriptor func() *int
	// The pieces of the endpoint's response, and in got what requests it has received.
	pieces, got chan string
}

// startHandover starts one. Without a handler, its endpoint reads complete requests and answers
// with the pieces that it is sent, as they are; an empty one ends its connection.
func startHandover(t *testing.T, serve http.HandlerFunc) *handoverRig {
	t.Helper()
	_, descriptor := shared(t)
	h := &handoverRig{pieces: make(chan string), got: make(chan string, 8), dir: t.TempDir(), descriptor: descriptor}
	t.Cleanup(func() { close(h.pieces) })
	if serve == nil {
		serve = h.respondInSteps
	}
	h.targets = []target{endpointServing(t, "s-1", serve)}
	h.rig = h.startSuccessor(t)
	return h
}

// nextRequest returns what the endpoint received next. Like sendPiece it fails after testTimeout,
// as where a request was rejected.
func (h *handoverRig) nextRequest() (got string) {
	h.t.Helper()
	select {
	case got = <-h.got:
	case <-time.After(testTimeout):
		h.t.Fatal("nothing came to the endpoint")
	}
	return got
}

// sendPiece sends the next piece of the endpoint's response.
func (h *handoverRig) sendPiece(piece string) {
	h.t.Helper()
	select {
	case h.pieces <- piece:
	case <-time.After(testTimeout):
		h.t.Fatal("the endpoint takes no piece")
	}
}

// respondInSteps is the handler of the endpoint that answers in pieces.
func (h *handoverRig) respondInSteps(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	c, _, fault := http.NewResponseController(w).Hijack()
	h.got <- fmt.Sprintf("%s %d %x %v", r.Header.Get("X-Txn"), len(body), body[:min(8, len(body))], errors.Join(err, fault))
	if fault != nil {
		return
	}
	defer c.Close()
	for piece := range h.pieces {
		if _, err := io.WriteString(c, piece); piece == "" || err != nil {
			return
		}
	}
}

// startSuccessor starts a server that takes over from the one before.
func (h *handoverRig) startSuccessor(t *testing.T) *rig {
	t.Helper()
	rg := startWith(t, 1, 1024, func(c *config.Config) { c.Accept, c.Handover = h.descriptor(), h.dir }, h.targets...)
	rg.server.shutdownTimeout = time.Minute // nothing here ends by its time
	rg.server.handoverGrace = 0
	rg.until("it can serve", rg.server.CanServe) // its /ready is asked of whoever accepts on the socket
	return rg
}

// awaitAccepted waits until the server has accepted a client's connection: one that is still in the
// backlog is the successor's, or lost where there is none.
func (rg *rig) awaitAccepted(c net.Conn) {
	rg.t.Helper()
	cs := &rg.server.clients
	rg.until("it is accepted", func() bool {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		for i := range cs.byState {
			for at := cs.byState[i].Front(); at != nil; at = at.Next() {
				if at.Value.(*downstreamConn).RemoteAddr().String() == c.LocalAddr().String() {
					return true
				}
			}
		}
		return false
	})
}

// awaitAllRead waits until the server has read all that its clients have written.
func (rg *rig) awaitAllRead() {
	rg.t.Helper()
	cs := &rg.server.clients
	rg.until("all is read", func() (done bool) {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		done = true
		for i := range cs.byState {
			for at := cs.byState[i].Front(); at != nil; at = at.Next() {
				done = done && !at.Value.(*downstreamConn).hasInput()
			}
		}
		return done
	})
}

// awaitState waits until the server's only connection is in a state.
func (rg *rig) awaitState(s connState) {
	rg.t.Helper()
	cs := &rg.server.clients
	rg.until(fmt.Sprint("its caller is at stage ", s), func() bool {
		http.DefaultClient.CloseIdleConnections()
		cs.mu.Lock()
		defer cs.mu.Unlock()
		return cs.byState[s].Len() == 1 && cs.open == 1
	})
}

// splitAt splits a text at places that are counted from its beginning or, below 0, from its end.
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

// atEachCut runs a test for each form, cut after each of its pieces, with a successor and without.
func atEachCut(t *testing.T, forms map[string][]string, play func(*testing.T, *handoverRig, string, []string, int, bool)) {
	t.Helper()
	for name, pieces := range forms {
		for after := range len(pieces) + 1 {
			for _, succeeded := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s after %d, succeeded %v", name, after, succeeded), func(t *testing.T) {
					t.Parallel()
					play(t, startHandover(t, nil), name, pieces, after, succeeded)
				})
			}
		}
	}
}

// chunkedText is a text as a chunked body, with extensions and a trailer.
func chunkedText(text string) (chunks string) {
	for at := 0; at < len(text); at += 50000 {
		chunks += fmt.Sprintf("%x;of=6\r\n%s\r\n", 50000, text[at:at+50000])
	}
	return chunks + "0\r\nX-Sum: done\r\n\r\n"
}
