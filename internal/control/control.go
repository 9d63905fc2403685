// Package control answers those who operate a sidecar, at an address of its own: whether the process can serve,
// and calls to drain it and to put it back to work. It knows the sidecar only as an interface, and nothing in it
// waits for the sidecar's other work.
package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// callTimeout is for a whole call. Those who say nothing, or half a call, are not waited for any longer.
	callTimeout = 4 * time.Second
	maxHead     = 4 << 10
	maxBody     = 4 << 10 // a call needs none; what it brings must be whole all the same
	// MaxConnections bounds the callers that are connected at a time. It is more than come while a call waits for
	// its turn on a busy machine.
	MaxConnections = 16
)

// Sidecar is what can be asked of a sidecar. Its methods must not block: an answer is due whatever the load.
type Sidecar interface {
	// CanServe tells whether this process can serve, drained or not.
	CanServe() bool
	Drain()
	Resume()
}

// Fleet is what this process keeps of the fleet, by the part that is asked for: "" is the view of the members. Each is
// a value that encodes as JSON, nil where this process does not keep it.
type Fleet interface{ Part(name string) any }

// Server answers the calls at one address.
type Server struct {
	http    http.Server
	callers *callers
}

// New makes a server for the calls that come to a listener. It owns the listener from then on. Fleet may be nil,
// and what is below /-/fleet then answers 404.
func New(l net.Listener, s Sidecar, fleet Fleet) *Server {
	c := &callers{Listener: l, most: MaxConnections}
	server := &Server{callers: c, http: http.Server{
		Handler: handler(s, fleet), ConnState: c.state, MaxHeaderBytes: maxHead,
		ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		ErrorLog: log.New(io.Discard, "", 0), // what a caller does wrong is its own affair, and may be endless
	}}
	server.http.SetKeepAlivesEnabled(false)
	return server
}

// Run answers calls until the server is closed.
func (s *Server) Run() error {
	if err := s.http.Serve(s.callers); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// Close ends the server and its connections.
func (s *Server) Close() error { return s.http.Close() }

// handler knows the paths and their methods. http.ServeMux would redirect paths that are not clean.
func handler(s Sidecar, fleet Fleet) http.Handler {
	type call struct {
		method string
		answer func() bool
	}
	act := func(f func()) func() bool {
		return func() bool {
			f()
			return true
		}
	}
	calls := map[string]call{
		"/-/ready":  {http.MethodGet, s.CanServe},
		"/-/drain":  {http.MethodPost, act(s.Drain)},
		"/-/resume": {http.MethodPost, act(s.Resume)},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if part, ok := strings.CutPrefix(r.URL.Path, "/-/fleet"); ok && fleet != nil && r.Method == http.MethodGet {
			if x := fleet.Part(strings.TrimPrefix(part, "/")); x != nil {
				w.Header().Set("Content-Type", "application/json")
				_ = json.NewEncoder(w).Encode(x) // a client that has left cannot be notified
				return
			}
		}
		c, ok := calls[r.URL.Path]
		switch {
		case !ok:
			http.Error(w, "no such call", http.StatusNotFound)
			return
		case r.Method != c.method:
			w.Header().Set("Allow", c.method)
			http.Error(w, "the method is "+c.method, http.StatusMethodNotAllowed)
			return
		}
		// Half a call is none: what was announced must have come before anything is done.
		if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody+1)); err != nil || n > maxBody {
			http.Error(w, "malformed call", http.StatusBadRequest)
			return
		}
		if !c.answer() {
			http.Error(w, "no", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "yes\n") // a caller that has gone cannot be told
	})
}
