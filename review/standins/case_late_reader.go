package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// lateTimeout is the route's timeout_ms, which the operator has set below the clients' deadline.
	lateTimeout  = 1500 * time.Millisecond
	lateDeadline = 2500 * time.Millisecond
	// readOnAfter is when the endpoint reads the rest of a body on that it has answered before.
	readOnAfter = 2 * time.Second
)

// lateReader sends non-idempotent requests with long bodies. With the disruption, the endpoints answer them before they have read
// the bodies, keep the connections and read on later. The rule REFUSED forbids a 503 for a request that has run.
func lateReader(s *system, trouble bool) (violations []string, err error) {
	if err := s.startAll(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	runs := map[string]string{}
	handle := func(e *endpoint, conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		signature := e.runRequest(request)
		mu.Lock()
		runs[request.Header.Get("X-Request-Id")] = e.id
		mu.Unlock()
		early := trouble && request.ContentLength == longBody
		if early {
			writeAnswer(conn, request, e.id, http.StatusOK, signature, "confirmed by "+e.id+"\n")
			time.Sleep(readOnAfter)
		}
		_, readError := io.Copy(io.Discard, request.Body)
		if !early {
			writeAnswer(conn, request, e.id, http.StatusOK, signature, "confirmed by "+e.id+"\n")
		}
		return readError == nil
	}
	if err := startConfirmations(s, lateTimeout, handle); err != nil {
		return nil, err
	}
	for i := range longRequests {
		id := fmt.Sprintf("long-%d", i)
		status, _, _ := sendRequest(s, s.proxies[i%len(s.proxies)], id, "/confirm/1", lateDeadline, body(longBody))
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		if runner := runs[id]; runner != "" && (status == 429 || status == 503 || status == 408 || status == 421) {
			violations = append(violations, fmt.Sprintf("REFUSED: request %s, which %s has run, was answered with %d", id, runner, status))
		}
		mu.Unlock()
	}
	return violations, nil
}
