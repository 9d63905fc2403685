package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// receiveBuffer is the receive buffer of an endpoint in bytes. Links have small windows (DEPLOY.md, Network).
const receiveBuffer = 8 << 10

// endpoint is a stand-in for one incarnation of an endpoint of a service without models.
type endpoint struct {
	system  *system
	id      string
	service string
	address string
	// handle answers a request whose head has been read. It returns false if the connection shall be closed.
	handle func(e *endpoint, conn net.Conn, reader *bufio.Reader, request *http.Request) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	sequence int
	state    string
}

// startEndpoint starts an endpoint and its heartbeats.
func startEndpoint(s *system, id, service string,
	handle func(e *endpoint, conn net.Conn, reader *bufio.Reader, request *http.Request) bool,
) (*endpoint, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) // larger windows do no harm
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		system: s, id: id, service: service, address: listener.Addr().String(), handle: handle, listener: listener,
		conns: map[net.Conn]bool{}, state: "ready",
	}
	go e.accept()
	go e.sendHeartbeats()
	return e, nil
}

func (e *endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

// serve serves the requests of one connection, one at a time.
func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
			_, _ = io.Copy(io.Discard, request.Body)
			writeAnswer(conn, request, e.id, http.StatusMisdirectedRequest, "", "another endpoint\n")
			continue
		}
		if !e.handle(e, conn, reader, request) {
			return
		}
	}
}

// writeAnswer writes a whole answer. The signature is empty for an endpoint that has not run the request.
func writeAnswer(conn net.Conn, request *http.Request, id string, status int, signature, body string) {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), request.Header.Get("X-Request-Id"), id, len(body))
	if signature != "" {
		head += "X-Response-Signature: " + signature + "\r\n"
	} else {
		head += "X-Not-Executed: 1\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n"+body) // the caller may have gone
}

// runRequest records that the endpoint runs a request, and returns the signature of its answer.
func (e *endpoint) runRequest(request *http.Request) (signature string) {
	e.system.record.event("endpoint", "runs", "endpoint", e.id, "request", request.Header.Get("X-Request-Id"))
	return e.id + "." + request.Header.Get("X-Request-Id")
}

// crash ends the endpoint without a word: its connections are reset.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	e.listener.Close()
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	e.system.record.event("endpoint", "crashes", "endpoint", e.id)
}

// sendHeartbeats sends heartbeats at the interval of the settings until the endpoint is down.
func (e *endpoint) sendHeartbeats() {
	for {
		e.mu.Lock()
		down, state := e.down, e.state
		e.sequence++
		beat := map[string]any{
			"service": e.service, "address": e.address, "zone": "hall-a", "version": "v1", "slots": 6, "state": state,
			"cold_remaining_ms": 0, "sequence": e.sequence,
		}
		e.mu.Unlock()
		if down {
			return
		}
		e.system.call(http.MethodPost, "/instances/"+e.id+"/heartbeat", nil, beat, 3*time.Second)
		time.Sleep(1200 * time.Millisecond)
	}
}

// client sends one try and waits for its answer. The status is 0 if there is none.
func sendRequest(s *system, p *process, id, path string, deadline time.Duration, body string) (status int, header http.Header, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.public+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, ""
	}
	request.Host = "confirm.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	s.record.event("client", "sends", "request", id, "bytes", fmt.Sprint(len(body)), "to", p.name)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.record.event("client", "no answer", "request", id, "error", err.Error())
		return 0, nil, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	s.record.event("client", "answer", "request", id, "status", fmt.Sprint(response.StatusCode), "retry-after",
		response.Header.Get("Retry-After"), "signature", response.Header.Get("X-Response-Signature"), "body", strings.TrimSpace(string(text)))
	if err != nil {
		return 0, nil, ""
	}
	return response.StatusCode, response.Header, string(text)
}
