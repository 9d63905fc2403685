package control

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

const (
	// callTimeout bounds a call from its first byte to its answer.
	callTimeout = 4 * time.Second
	// maxHeadBytes and maxBodyBytes bound a call. None needs a body, but one that is announced has to arrive.
	maxHeadBytes = 4 << 10
	maxBodyBytes = 4 << 10
	// MaxConnections bounds the connected clients. It is more than connect while a call waits for its turn on a busy
	// machine.
	MaxConnections = 16
)

// Server serves the control address.
type Server struct {
	http     http.Server
	listener *limitedListener
}

// New returns a server for the calls that come to a listener, which it owns from then on. The fleet may be nil: what is
// below /-/fleet is then not found.
func New(l net.Listener, s Sidecar, fleet Fleet) *Server {
	listener := &limitedListener{Listener: l, maxConnections: MaxConnections}
	server := &Server{listener: listener, http: http.Server{
		Handler: newHandler(s, fleet), ConnState: listener.trackState, MaxHeaderBytes: maxHeadBytes,
		ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		ErrorLog: log.New(io.Discard, "", 0), // clients' faults are not this process's, and may be endless
	}}
	server.http.SetKeepAlivesEnabled(false)
	return server
}

// Run serves until the server is closed.
func (s *Server) Run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// Close ends the server and its connections.
func (s *Server) Close() error { return s.http.Close() }
