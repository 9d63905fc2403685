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

// handed is a sidecar and, from its succeed on, the process that serves in its place; both share a directory.
type handed struct {
	*rig
	targets    []target
	dir        string
	descriptor func() *int
	give, got  chan string // the endpoint's pieces, and what it has got
}

// startHanded starts one. Where serve is nil, its endpoint reads requests whole and answers with the pieces that it is
// given, as they are; an empty one ends its connection.
func startHanded(t *testing.T, serve http.HandlerFunc) *handed {
	t.Helper()
	_, descriptor := shared(t)
	h := &handed{give: make(chan string), got: make(chan string, 8), dir: t.TempDir(), descriptor: descriptor}
	t.Cleanup(func() { close(h.give) })
	if serve == nil {
		serve = h.bySteps
	}
	h.targets = []target{peer(t, "s-1", serve)}
	h.rig = h.succeed(t)
	return h
}

// next is what the endpoint has got next, and feed gives it a piece: neither waits for ever where a request that was to
// come was refused.
func (h *handed) next() (got string) {
	h.t.Helper()
	select {
	case got = <-h.got:
	case <-time.After(patience):
		h.t.Fatal("nothing came to the endpoint")
	}
	return got
}

func (h *handed) feed(piece string) {
	h.t.Helper()
	select {
	case h.give <- piece:
	case <-time.After(patience):
		h.t.Fatal("the endpoint takes no piece")
	}
}

func (h *handed) bySteps(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	c, _, fault := http.NewResponseController(w).Hijack()
	h.got <- fmt.Sprintf("%s %d %x %v", r.Header.Get("X-Txn"), len(body), body[:min(8, len(body))], errors.Join(err, fault))
	if fault != nil {
		return
	}
	defer c.Close()
	for piece := range h.give {
		if _, err := io.WriteString(c, piece); piece == "" || err != nil {
			return
		}
	}
}

func (h *handed) succeed(t *testing.T) *rig {
	t.Helper()
	rg := startWith(t, 1, 1024, func(c *config.Config) { c.Accept, c.Handover = h.descriptor(), h.dir }, h.targets...)
	rg.server.shutdownTimeout = time.Minute // nothing here ends by its time
	rg.server.handoverGrace = 0
	rg.until("it can serve", rg.server.CanServe) // its /ready is asked of whoever accepts on the socket
	return rg
}

// accepted waits until a sidecar has a caller's connection: one that still waits at the socket is the successor's, and
// where there is none, nobody's.
func (rg *rig) accepted(c net.Conn) {
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

// allRead waits until a sidecar has read all that its callers have written.
func (rg *rig) allRead() {
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

// atStage waits until a sidecar's only connection is at a stage.
func (rg *rig) atStage(s connState) {
	rg.t.Helper()
	cs := &rg.server.clients
	rg.until(fmt.Sprint("its caller is at stage ", s), func() bool {
		http.DefaultClient.CloseIdleConnections()
		cs.mu.Lock()
		defer cs.mu.Unlock()
		return cs.byState[s].Len() == 1 && cs.open == 1
	})
}

// cut cuts a text at places that are counted from its beginning or, below 0, from its end.
func cut(text string, at ...int) (pieces []string) {
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

// anywhere plays each form, cut after each of its pieces, with a successor and without.
func anywhere(t *testing.T, forms map[string][]string, play func(*testing.T, *handed, string, []string, int, bool)) {
	for name, pieces := range forms {
		for after := range len(pieces) + 1 {
			for _, succeeded := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s after %d, succeeded %v", name, after, succeeded), func(t *testing.T) {
					t.Parallel()
					play(t, startHanded(t, nil), name, pieces, after, succeeded)
				})
			}
		}
	}
}

// inChunks is a text in chunks, with extensions and a trailer.
func inChunks(text string) (chunks string) {
	for at := 0; at < len(text); at += 50000 {
		chunks += fmt.Sprintf("%x;of=6\r\n%s\r\n", 50000, text[at:at+50000])
	}
	return chunks + "0\r\nX-Sum: done\r\n\r\n"
}
