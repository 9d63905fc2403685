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
	// requestTimeout bounds reading a request, and separately writing its answer.
	requestTimeout = 4 * time.Second
	// maxHeaderBytes and maxBodyBytes bound the size of a request. No request needs a body, but if one is announced, it
	// has to arrive.
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 4 << 10
	// MaxConnections bounds the number of connected clients. It is more than the number of clients that connect while a
	// request waits to be scheduled on a busy machine.
	MaxConnections = 16
)

// Server is the HTTP server at the control address.
type Server struct {
	http     http.Server
	listener *limitedListener
}

// New returns a server for the connections to a listener, and takes ownership of the listener. The fleet may be nil; the
// paths at and below /-/fleet are then answered with 404 Not Found.
func New(l net.Listener, s Sidecar, fleet Fleet) *Server {
	listener := &limitedListener{Listener: l, maxConnections: MaxConnections}
	server := &Server{listener: listener, http: http.Server{
		Handler: newHandler(s, fleet), ConnState: listener.trackState, MaxHeaderBytes: maxHeaderBytes,
		ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		ErrorLog: log.New(io.Discard, "", 0), // discard errors of clients, whose number is unbounded
	}}
	server.http.SetKeepAlivesEnabled(false)
	return server
}

// Run serves requests until the server is closed.
func (s *Server) Run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }
