package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dykering/internal/core"
)

// recordingDelay is how late a goroutine of the test may record an event on a busy machine.
const recordingDelay = 300 * time.Millisecond

// sendRecorded sends a request on a new connection, and records all answers until the connection ends.
func (rg *rig) sendRecorded(l *requestLedger, class string, remaining time.Duration, headers ...string) {
	id := fmt.Sprintf("q%d", rg.txn.Add(1))
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		rg.t.Error(err)
		return
	}
	defer c.Close()
	method, extraHeaders := "POST", "Content-Length: 4\r\n"
	switch class {
	case "read":
		method, extraHeaders = "GET", ""
	case "book":
		extraHeaders += "Idempotency-Key: " + id + "\r\n"
	}
	for _, line := range headers {
		extraHeaders += line + "\r\n"
	}
	l.expect(id, class, time.Now().Add(remaining))
	fmt.Fprintf(c, "%s /api HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %dm\r\nConnection: close\r\n%s\r\n",
		method, id, class, remaining.Milliseconds(), extraHeaders)
	if method == "POST" {
		io.WriteString(c, "trip")
	}
	c.SetDeadline(time.Now().Add(remaining + testTimeout))
	r := bufio.NewReader(c)
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return
		}
		l.answer(id, received{res.StatusCode, time.Now(), res.Header.Get("Retry-After")})
	}
}

// awaitEmpty reports the endpoints as gone and waits until nothing stays allocated: no call, attempt,
// connection, byte of memory or goroutine.
func (rg *rig) awaitEmpty(memory int64, goroutines int, endpoints ...*fakeEndpoint) {
	rg.t.Helper()
	gone := endpointListOf(rg.stats().Revision+1, "Gone", endpoints...)
	rg.lists <- gone
	http.DefaultClient.CloseIdleConnections()
	var s core.Stats
	rg.until("nothing stays allocated", func() bool {
		s = rg.stats()
		clients := &rg.server.clients
		clients.mu.Lock()
		defer clients.mu.Unlock()
		return s.Calls+s.Attempts+s.Conns+s.IdleConns+clients.open == 0 && rg.server.memory.Bodies.Available() == memory &&
			runtime.NumGoroutine() <= goroutines
	})
}

// All endpoints fail in the same way. Each request must get exactly one answer in time, no request is
// retried that may have been executed, the number of attempts and connections stays bounded, and
// nothing stays allocated.
func TestEachRequestIsAnsweredOnceWhenAllEndpointsFail(t *testing.T) {
	const (
		requests        = 36
		concurrency     = 12
		sendCap         = 5  // the largest number of attempts for a request, as in settingsText
		retryReserve    = 10 // retries of possibly executed requests that the retry budget may hold
		dialsPerAttempt = 4  // two to connect, and two to classify a reset
	)
	for name, tc := range map[string]struct {
		behave         behavior
		notExecuted    bool // the endpoints execute no request
		resetsOnAccept bool // endpoints reset each connection before they read a request
	}{
		"serving":               {respondWith(goodResponse, true), false, false},
		"error":                 {respondWith("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true), false, false},
		"rejecting":             {respondWith(rejectedResponse, true), true, false},
		"rejecting and closing": {respondWith(strings.Replace(rejectedResponse, "X-", "Connection: close\r\nX-", 1), false), true, false},
		"reset":                 {resetConnection, false, false},
		"closing":               {respondWith("", false), false, false},
		"malformed":             {respondWith("who is there\r\n\r\n", false), false, false},
		"truncated":             {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false), false, false},
		"silent":                {awaitHangup, false, false},
		"reset on accept":       {nil, true, true},
		"connection refused":    {nil, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newRequestLedger()
			var endpoints []*fakeEndpoint
			var targets []target
			for i := range 3 {
				s := newFakeEndpoint(t, l, fmt.Sprint("s-", 1+i), tc.behave)
				endpoints, targets = append(endpoints, s), append(targets, s.target)
				if tc.behave == nil && !tc.resetsOnAccept {
					s.listen.Close()
				}
			}
			rg := start(t, 1024, targets...)
			http.DefaultClient.CloseIdleConnections()
			rg.until("no client is connected", func() bool { return rg.server.clients.emptyFor(0) })
			memory, goroutines := rg.server.memory.Bodies.Available(), runtime.NumGoroutine()
			var headers []string
			if tc.notExecuted {
				headers = append(headers, "X-Test: never")
			}
			var all sync.WaitGroup
			for i := range concurrency {
				all.Go(func() {
					for range requests / concurrency {
						rg.sendRecorded(l, []string{"read", "book", "once"}[i%3], 700*time.Millisecond, headers...)
					}
				})
			}
			all.Wait()
			rg.awaitEmpty(memory, goroutines, endpoints...)
			for _, fault := range l.violations(250*time.Millisecond, sendCap) {
				t.Error(fault)
			}
			maxCompleted := requests + retryReserve
			if tc.notExecuted {
				maxCompleted = requests * sendCap
			} else if name == "serving" {
				maxCompleted = requests
			}
			if l.completed > maxCompleted || l.conns > dialsPerAttempt*sendCap*requests || tc.resetsOnAccept && l.conns == 0 {
				t.Errorf("%d complete requests and %d connections at endpoints, want at most %d and %d",
					l.completed, l.conns, maxCompleted, dialsPerAttempt*sendCap*requests)
			}
			for id, all := range l.answers {
				if served := all[0].status == 200; served != (name == "serving") {
					t.Errorf("%s: status %d", id, all[0].status)
				}
			}
			t.Logf("%d requests: %d complete at endpoints, %d connections, %d rejected", requests, l.completed, l.conns, l.rejections)
		})
	}
}

// Discovery reports changes of an endpoint while a request is in a certain phase there. The request
// in flight must succeed, new requests must go only to open endpoints, and nothing stays allocated.
func TestListChangeInEachPhaseOfARequest(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedBody)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
	for phase, body := range map[string]int{"awaiting": 4, "receiving": 4, "sending": len(long)} {
		for name, steps := range map[string][]string{
			"drains":             {"Terminating"},
			"drains twice":       {"Terminating", "Terminating"},
			"gone":               {"Gone"},
			"drains, gone":       {"Terminating", "Gone"},
			"gone, drains":       {"Gone", "Terminating"},
			"drains and back":    {"Terminating", "Ready"},
			"gone and back":      {"Gone", "Ready"},
			"gone, late ready":   {"Gone", "late Ready"},
			"drains, late ready": {"Terminating", "late Ready"},
			"restarts":           {"restarted"},
			"drains, restarts":   {"Terminating", "restarted"},
			"unknown state":      {"Sleeping"},
		} {
			t.Run(phase+", "+name, func(t *testing.T) {
				l := newRequestLedger()
				arrived, proceed := make(chan bool, 1), make(chan bool)
				var firstServed atomic.Bool
				first := newFakeEndpoint(t, l, "s-1", func(c *net.TCPConn, markEnded func()) bool {
					if firstServed.Swap(true) {
						return respondWith(goodResponse, true)(c, markEnded)
					}
					arrived <- true
					switch phase {
					case "receiving":
						io.WriteString(c, head+long[:maxBufferedBody+maxBufferedBody/2])
						<-proceed
						markEnded()
						io.WriteString(c, long[maxBufferedBody+maxBufferedBody/2:])
					case "awaiting":
						<-proceed
						return respondWith(goodResponse, true)(c, markEnded)
					default:
						return respondWith(goodResponse, true)(c, markEnded)
					}
					return true
				})
				second := newFakeEndpoint(t, l, "s-2", respondWith(goodResponse, true))
				rg := start(t, 1024, first.target)
				http.DefaultClient.CloseIdleConnections()
				rg.until("no client is connected", func() bool { return rg.server.clients.emptyFor(0) })
				memory, goroutines := rg.server.memory.Bodies.Available(), runtime.NumGoroutine()
				result := make(chan error, 1)
				go func() { result <- rg.sendInPhase(l, phase == "sending", long[:body], proceed) }()
				if phase == "sending" {
					// An accepted connection is not enough: an attempt that has not written to it yet is not sent
					// once the endpoint drains.
					rg.until("the upload is being sent", func() bool {
						return rg.stats().Attempts == 1 && l.accepted() == 1 && rg.uploading()
					})
				} else {
					<-arrived
				}
				if phase == "receiving" {
					rg.until("the response is being relayed", func() bool {
						cs := &rg.server.clients
						cs.mu.Lock()
						defer cs.mu.Unlock()
						return cs.byState[stateStreaming].Len() == 1
					})
				}
				rev, excluded := uint64(2), false
				rg.lists <- endpointListOf(rev, "Ready", second)
				for _, step := range steps {
					changed, state := *first, step
					rev++
					switch step {
					case "late Ready":
						rev--
						rg.lists <- endpointListOf(2, "Ready", &changed)
						continue
					case "restarted":
						changed.BootMS, state = time.Now().UnixMilli(), "Ready"
					}
					rg.lists <- endpointListOf(rev, state, &changed)
					if excluded = state == "Terminating" || state == "Gone"; excluded {
						l.mu.Lock()
						if _, ok := l.drained[first.UID]; !ok {
							l.drained[first.UID] = time.Now()
						}
						l.mu.Unlock()
					} else if state == "Ready" {
						l.mu.Lock()
						delete(l.drained, first.UID)
						l.mu.Unlock()
					}
				}
				rev++
				rg.lists <- endpointListOf(rev, "Ready") // once this list is applied, the earlier ones are processed
				rg.until("the list is applied", func() bool { return rg.stats().Revision == rev })
				before := l.requestsAt(first.UID)
				var all sync.WaitGroup
				for range 8 {
					all.Go(func() { rg.sendRecorded(l, "once", 5*time.Second) })
				}
				all.Wait()
				if n := l.requestsAt(first.UID) - before; excluded && n > 0 {
					t.Errorf("%d new requests were sent to a draining or departed endpoint", n)
				}
				close(proceed)
				if err := <-result; err != nil {
					t.Errorf("request in flight: %v", err)
				}
				rg.awaitEmpty(memory, goroutines, first, second)
				for _, fault := range l.violations(250*time.Millisecond, 5) {
					t.Error(fault)
				}
			})
		}
	}
}

// sendInPhase sends a request and reads its answer. If paused is set, it stops in the middle of the
// body until it receives from proceed.
func (rg *rig) sendInPhase(l *requestLedger, paused bool, body string, proceed <-chan bool) error {
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	l.expect("running", "once", time.Now().Add(testTimeout))
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: running\r\nX-Lane: once\r\nX-Remaining: 9000m\r\n"+
		"Connection: close\r\nContent-Length: %d\r\n\r\n", len(body))
	if paused {
		io.WriteString(c, body[:len(body)*3/4])
		<-proceed
		body = body[len(body)*3/4:]
	}
	io.WriteString(c, body)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, res.Body)
	l.answer("running", received{res.StatusCode, time.Now(), res.Header.Get("Retry-After")})
	if err != nil {
		return fmt.Errorf("status %d, %d bytes of %d: %w", res.StatusCode, n, res.ContentLength, err)
	}
	if res.StatusCode != http.StatusOK || n != res.ContentLength {
		return fmt.Errorf("status %d, %d bytes of %d", res.StatusCode, n, res.ContentLength)
	}
	return nil
}

// The process drains, stops or reloads while requests are in flight, and then all endpoints fail in
// the same way. Each accepted request must get exactly one answer in time, and nothing stays
// allocated.
func TestEndpointFaultsDuringDrainShutdownAndReload(t *testing.T) {
	for fault, behave := range map[string]behavior{
		"serving":   respondWith(goodResponse, true),
		"error":     respondWith("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true),
		"rejecting": respondWith(rejectedResponse, true),
		"reset":     resetConnection,
		"malformed": respondWith("who is there\r\n\r\n", false),
		"truncated": respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false),
		"silent":    awaitHangup,
	} {
		for phase, begin := range map[string]func(rg *rig){
			"drain": func(rg *rig) {
				rg.server.Drain()
				rg.until("the server drains", func() bool { return !rg.server.lifecycle.IsReady() })
			},
			"stop": func(rg *rig) {
				rg.signals <- syscall.SIGTERM
				rg.until("the server is stopping", func() bool { return !rg.server.CanServe() })
			},
			"reload": func(rg *rig) {
				rg.reloads <- syscall.SIGHUP
				rg.until("the new discovery is followed", func() bool { return rg.stats().AwaitingFullList })
			},
			"endpoints drain": func(rg *rig) {
				rg.lists <- `{"rev":9,"all":true,"targets":[]}`
				rg.until("the endpoints drain", func() bool { return rg.stats().Revision == 9 })
			},
		} {
			t.Run(fault+", "+phase, func(t *testing.T) {
				t.Parallel()
				const (
					requests = 6
					timeout  = 2 * time.Second
				)
				l, gate := newRequestLedger(), make(chan bool)
				var targets []target
				for i := range 2 {
					s := newFakeEndpoint(t, l, fmt.Sprint("s-", 1+i), func(c *net.TCPConn, markEnded func()) bool {
						<-gate
						return behave(c, markEnded)
					})
					targets = append(targets, s.target)
				}
				rg := start(t, 1024, targets...)
				memory := rg.server.memory.Bodies.Available()
				var headers []string
				if fault == "rejecting" {
					headers = append(headers, "X-Test: never")
				}
				var all sync.WaitGroup
				for i := range requests {
					all.Go(func() { rg.sendRecorded(l, []string{"read", "book", "once"}[i%3], timeout, headers...) })
				}
				rg.until("all requests are in flight", func() bool { return l.requests() == requests })
				begin(rg)
				close(gate)
				all.Wait()
				rg.until("nothing stays allocated", func() bool {
					http.DefaultClient.CloseIdleConnections() // start has used them for /ready
					s := rg.stats()
					return s.Calls+s.Attempts == 0 && s.Conns == s.IdleConns && rg.server.clients.emptyFor(0) &&
						rg.server.memory.Bodies.Available() == memory
				})
				for _, fault := range l.violations(250*time.Millisecond, 5) {
					t.Error(fault)
				}
				for id, all := range l.answers {
					if served := all[0].status == http.StatusOK; served != (fault == "serving") {
						t.Errorf("%s: status %d", id, all[0].status)
					}
					if remaining := l.asked[id].until.Sub(all[0].at); fault != "silent" && remaining < timeout/4 {
						t.Errorf("%s: answered only %v before its deadline", id, remaining)
					}
				}
			})
		}
	}
}
