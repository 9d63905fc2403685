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

// late is how long a crowded machine may keep a goroutine of the test from writing down what has come.
const late = 300 * time.Millisecond

// sendRecorded sends a request on a connection of its own, and records all answers until that ends.
func (rg *rig) sendRecorded(l *requestLedger, class string, left time.Duration, headers ...string) {
	id := fmt.Sprintf("q%d", rg.txn.Add(1))
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		rg.t.Error(err)
		return
	}
	defer c.Close()
	method, more := "POST", "Content-Length: 4\r\n"
	switch class {
	case "read":
		method, more = "GET", ""
	case "book":
		more += "Idempotency-Key: " + id + "\r\n"
	}
	for _, m := range headers {
		more += m + "\r\n"
	}
	l.ask(id, class, time.Now().Add(left))
	fmt.Fprintf(c, "%s /api HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %dm\r\nConnection: close\r\n%s\r\n",
		method, id, class, left.Milliseconds(), more)
	if method == "POST" {
		io.WriteString(c, "trip")
	}
	c.SetDeadline(time.Now().Add(left + testTimeout))
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

// awaitEmpty waits until nothing stays allocated: no call, attempt, connection, byte of memory or
// goroutine.
func (rg *rig) awaitEmpty(memory int64, goroutines int, servers ...*fakeEndpoint) {
	rg.t.Helper()
	l := endpointListOf(rg.stats().Revision+1, "Gone", servers...)
	rg.lists <- l
	http.DefaultClient.CloseIdleConnections()
	var s core.Stats
	rg.until("nothing is left", func() bool {
		s = rg.stats()
		cs := &rg.server.clients
		cs.mu.Lock()
		defer cs.mu.Unlock()
		return s.Calls+s.Attempts+s.Conns+s.IdleConns+cs.open == 0 && rg.server.memory.Bodies.Available() == memory &&
			runtime.NumGoroutine() <= goroutines
	})
}

// With all endpoints failing in the same way, each request gets its one answer in time, nothing is
// retried that must not be, the load on endpoints stays within the bounds of
// docs/review-of-parts.md, and nothing stays allocated.
func TestEachRequestIsAnsweredOnceWhenAllEndpointsFail(t *testing.T) {
	const (
		requests = 36
		abreast  = 12
		sendCap  = 5  // of settingsText
		reserve  = 10 // repeats that may be saved up, of what may have run
		dials    = 4  // for an attempt: two, and two more to see what broke
	)
	for name, f := range map[string]struct {
		play  behavior
		never bool // what comes has not run
		deaf  bool // connections are broken off before they bring anything
	}{
		"serving":       {respondWith(goodAnswer, true), false, false},
		"failing":       {respondWith("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true), false, false},
		"full":          {respondWith(rejectedAnswer, true), true, false},
		"full, closing": {respondWith(strings.Replace(rejectedAnswer, "X-", "Connection: close\r\nX-", 1), false), true, false},
		"resetting":     {resetConnection, false, false},
		"ending":        {respondWith("", false), false, false},
		"spoilt":        {respondWith("who is there\r\n\r\n", false), false, false},
		"cut":           {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false), false, false},
		"silent":        {awaitHangup, false, false},
		"deaf":          {nil, true, true},
		"refusing":      {nil, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newRequestLedger()
			var servers []*fakeEndpoint
			var targets []target
			for i := range 3 {
				s := newFakeEndpoint(t, l, fmt.Sprint("s-", 1+i), f.play)
				servers, targets = append(servers, s), append(targets, s.target)
				if f.play == nil && !f.deaf {
					s.listen.Close()
				}
			}
			rg := start(t, 1024, targets...)
			http.DefaultClient.CloseIdleConnections()
			rg.until("it is quiet", func() bool { return rg.server.clients.emptyFor(0) })
			memory, goroutines := rg.server.memory.Bodies.Available(), runtime.NumGoroutine()
			var marks []string
			if f.never {
				marks = append(marks, "X-Test: never")
			}
			var all sync.WaitGroup
			for i := range abreast {
				all.Go(func() {
					for range requests / abreast {
						rg.sendRecorded(l, []string{"read", "book", "once"}[i%3], 700*time.Millisecond, marks...)
					}
				})
			}
			all.Wait()
			rg.awaitEmpty(memory, goroutines, servers...)
			for _, fault := range l.broken(250*time.Millisecond, sendCap) {
				t.Error(fault)
			}
			most := requests + reserve
			if f.never {
				most = requests * sendCap
			} else if name == "serving" {
				most = requests
			}
			if l.completed > most || l.conns > dials*sendCap*requests || f.deaf && l.conns == 0 {
				t.Errorf("%d whole requests, %d connections, want at most %d and %d", l.completed, l.conns, most, dials*sendCap*requests)
			}
			for id, all := range l.answers {
				if served := all[0].status == 200; served != (name == "serving") {
					t.Errorf("%s: status %d", id, all[0].status)
				}
			}
			t.Logf("%d requests: %d whole at servers, %d connections, %d refused", requests, l.completed, l.conns, l.rejections)
		})
	}
}

// Whatever discovery reports of an endpoint in each phase of a request: requests in flight end
// well, new ones go only where they may, and nothing stays allocated.
func TestListChangeInEachPhaseOfARequest(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedBody)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
	for stage, body := range map[string]int{"awaited": 4, "coming": 4, "written": len(long)} {
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
			"a line of no use":   {"Sleeping"},
		} {
			t.Run(stage+", "+name, func(t *testing.T) {
				l := newRequestLedger()
				came, goOn := make(chan bool, 1), make(chan bool)
				var later atomic.Bool
				first := newFakeEndpoint(t, l, "s-1", func(c *net.TCPConn, over func()) bool {
					if later.Swap(true) {
						return respondWith(goodAnswer, true)(c, over)
					}
					came <- true
					switch stage {
					case "coming":
						io.WriteString(c, head+long[:maxBufferedBody+maxBufferedBody/2])
						<-goOn
						over()
						io.WriteString(c, long[maxBufferedBody+maxBufferedBody/2:])
					case "awaited":
						<-goOn
						return respondWith(goodAnswer, true)(c, over)
					default:
						return respondWith(goodAnswer, true)(c, over)
					}
					return true
				})
				second := newFakeEndpoint(t, l, "s-2", respondWith(goodAnswer, true))
				rg := start(t, 1024, first.target)
				http.DefaultClient.CloseIdleConnections()
				rg.until("it is quiet", func() bool { return rg.server.clients.emptyFor(0) })
				memory, goroutines := rg.server.memory.Bodies.Available(), runtime.NumGoroutine()
				ended := make(chan error, 1)
				go func() { ended <- rg.sendInPhase(l, stage == "written", long[:body], goOn) }()
				if stage == "written" {
					// The endpoint accepts the connection before the attempt writes to it: an attempt that has
					// not written yet is not sent to an endpoint that drains.
					rg.until("it goes out", func() bool {
						return rg.stats().Attempts == 1 && l.accepted() == 1 && rg.uploading()
					})
				} else {
					<-came
				}
				if stage == "coming" {
					rg.until("it comes", func() bool {
						cs := &rg.server.clients
						cs.mu.Lock()
						defer cs.mu.Unlock()
						return cs.byState[stateStreaming].Len() == 1
					})
				}
				rev, closed := uint64(2), false
				rg.lists <- endpointListOf(rev, "Ready", second)
				for _, step := range steps {
					x, how := *first, step
					rev++
					switch step {
					case "late Ready":
						rev--
						rg.lists <- endpointListOf(2, "Ready", &x)
						continue
					case "restarted":
						x.BootMS, how = time.Now().UnixMilli(), "Ready"
					}
					rg.lists <- endpointListOf(rev, how, &x)
					if closed = how == "Terminating" || how == "Gone"; closed {
						l.mu.Lock()
						if _, ok := l.drained[first.UID]; !ok {
							l.drained[first.UID] = time.Now()
						}
						l.mu.Unlock()
					} else if how == "Ready" {
						l.mu.Lock()
						delete(l.drained, first.UID)
						l.mu.Unlock()
					}
				}
				rev++
				rg.lists <- endpointListOf(rev, "Ready") // what is behind it has been heard, whatever came of it
				rg.until("it is taken in", func() bool { return rg.stats().Revision == rev })
				before := l.requestsAt(first.UID)
				var all sync.WaitGroup
				for range 8 {
					all.Go(func() { rg.sendRecorded(l, "once", 5*time.Second) })
				}
				all.Wait()
				if n := l.requestsAt(first.UID) - before; closed && n > 0 {
					t.Errorf("%d new requests went to it", n)
				}
				close(goOn)
				if err := <-ended; err != nil {
					t.Errorf("what ran: %v", err)
				}
				rg.awaitEmpty(memory, goroutines, first, second)
				for _, fault := range l.broken(250*time.Millisecond, 5) {
					t.Error(fault)
				}
			})
		}
	}
}

// sendInPhase sends a request whose body waits in the middle if paused is set, and reads its
// answer.
func (rg *rig) sendInPhase(l *requestLedger, paused bool, body string, goOn <-chan bool) error {
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	l.ask("running", "once", time.Now().Add(testTimeout))
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: running\r\nX-Lane: once\r\nX-Remaining: 9000m\r\n"+
		"Connection: close\r\nContent-Length: %d\r\n\r\n", len(body))
	if paused {
		io.WriteString(c, body[:len(body)*3/4])
		<-goOn
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

// The process drains, stops or reloads while requests are in flight at endpoints that then all fail
// in one way: each accepted request gets its one answer in time, and nothing stays allocated.
func TestEndpointFaultsDuringDrainShutdownAndReload(t *testing.T) {
	for fault, play := range map[string]behavior{
		"serving":   respondWith(goodAnswer, true),
		"failing":   respondWith("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true),
		"full":      respondWith(rejectedAnswer, true),
		"resetting": resetConnection,
		"spoilt":    respondWith("who is there\r\n\r\n", false),
		"cut":       respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false),
		"silent":    awaitHangup,
	} {
		for phase, begin := range map[string]func(rg *rig){
			"drain": func(rg *rig) {
				rg.server.Drain()
				rg.until("it drains", func() bool { return !rg.server.lifecycle.IsReady() })
			},
			"stop": func(rg *rig) {
				rg.signals <- syscall.SIGTERM
				rg.until("it stops", func() bool { return !rg.server.CanServe() })
			},
			"reload": func(rg *rig) {
				rg.reloads <- syscall.SIGHUP
				rg.until("it follows", func() bool { return rg.stats().AwaitingFullList })
			},
			"servers drain": func(rg *rig) {
				rg.lists <- `{"rev":9,"all":true,"targets":[]}`
				rg.until("they drain", func() bool { return rg.stats().Revision == 9 })
			},
		} {
			t.Run(fault+", "+phase, func(t *testing.T) {
				t.Parallel()
				const (
					requests = 6
					wait     = 2 * time.Second
				)
				l, gate := newRequestLedger(), make(chan bool)
				var targets []target
				for i := range 2 {
					s := newFakeEndpoint(t, l, fmt.Sprint("s-", 1+i), func(c *net.TCPConn, over func()) bool {
						<-gate
						return play(c, over)
					})
					targets = append(targets, s.target)
				}
				rg := start(t, 1024, targets...)
				memory := rg.server.memory.Bodies.Available()
				var marks []string
				if fault == "full" {
					marks = append(marks, "X-Test: never")
				}
				var all sync.WaitGroup
				for i := range requests {
					all.Go(func() { rg.sendRecorded(l, []string{"read", "book", "once"}[i%3], wait, marks...) })
				}
				rg.until("they are out", func() bool { return l.requests() == requests })
				begin(rg)
				close(gate)
				all.Wait()
				rg.until("nothing is left", func() bool {
					http.DefaultClient.CloseIdleConnections() // of start, which asks whether it is ready
					s := rg.stats()
					return s.Calls+s.Attempts == 0 && s.Conns == s.IdleConns && rg.server.clients.emptyFor(0) &&
						rg.server.memory.Bodies.Available() == memory
				})
				for _, fault := range l.broken(250*time.Millisecond, 5) {
					t.Error(fault)
				}
				for id, all := range l.answers {
					if served := all[0].status == http.StatusOK; served != (fault == "serving") {
						t.Errorf("%s: status %d", id, all[0].status)
					}
					if left := l.asked[id].until.Sub(all[0].at); fault != "silent" && left < wait/4 {
						t.Errorf("%s: kept until %v before its time was up", id, left)
					}
				}
			})
		}
	}
}
