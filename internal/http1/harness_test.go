package http1

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"dykering/internal/config"
	"dykering/internal/core"
	"dykering/internal/decision"
	"dykering/internal/lab/loopback"
	"dykering/internal/listen"
)

type (
	target       = core.Target
	endpointList = core.List
)

// testTimeout bounds each wait of a test. A test that reaches it has failed.
const testTimeout = 20 * time.Second

const settingsText = `{"allowed":{"cancel":true,"connIdle":30000000,"connectTimeout":2000000,"maxRetryAfter":2000000,
	"mayProbe":true,"openCap":1000,"peers":false,"retryAfter":true,"secondCopies":false,"sendCap":5},
	"clientHabits":{"marksRetry":true},"discovery":"push","instances":1,"ordinal":0,"quantum":5000,"stage":0,
	"rules":{"cold":1000000,"coldFrom":0.3,"drainGrace":250000,"fall":1000000,"graceToAnswer":20000,"tipMultiple":3},
	"services":[
	{"name":"read","aim":9000000,"deadline":10000000,"effect":"read_like","gain":1,"window":0},
	{"name":"book","aim":9000000,"deadline":10000000,"effect":"idempotency_key","keyScope":"cell","gain":1,"window":10000000},
	{"name":"once","aim":9000000,"deadline":10000000,"effect":"non_idempotent","gain":1,"window":0}],
	"tenants":[],"tiers":["front"],"zones":["z"],"models":["m"]}`

// rig is a server on loopback sockets with a discovery service that the test controls.
type rig struct {
	t *testing.T
	// The path of the configuration file.
	file   string
	server *Server
	url    string
	// The lines that the discovery service sends on its watch.
	lists   chan string
	signals chan os.Signal
	reloads chan os.Signal
	exited  chan error
	txn     atomic.Int64
}

// start runs a server that is the only instance of its tier and knows the given endpoints.
func start(t *testing.T, sockets int, targets ...target) *rig {
	t.Helper()
	return startOneOf(t, 1, sockets, targets...)
}

// startOneOf runs a server that is one of several instances of its tier.
func startOneOf(t *testing.T, instances, sockets int, targets ...target) *rig {
	t.Helper()
	return startWith(t, instances, sockets, func(*config.Config) {}, targets...)
}

// startWith runs a server after change has modified its configuration.
func startWith(t *testing.T, instances, sockets int, change func(*config.Config), targets ...target) *rig {
	t.Helper()
	return startOn(t, Kernel{}, instances, sockets, change, targets...)
}

// startOn runs a server on the given network, after change has modified its configuration.
func startOn(t *testing.T, n Network, instances, sockets int, change func(*config.Config), targets ...target) *rig {
	t.Helper()
	rg := &rig{
		t: t, lists: make(chan string, 16), signals: make(chan os.Signal, 1),
		reloads: make(chan os.Signal, 1), exited: make(chan error, 1),
	}
	discovery := startHTTPServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		for {
			http.NewResponseController(w).Flush()
			select {
			case line := <-rg.lists:
				fmt.Fprintln(w, line)
			case <-r.Context().Done():
				return
			}
		}
	}))
	known, _ := json.Marshal(endpointList{Rev: 1, Full: true, Targets: targets})
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		discovery.Listener.Addr(), sockets, known,
		strings.Replace(settingsText, `"instances":1,`, fmt.Sprintf(`"instances":%d,`, instances), 1))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	rg.file = file
	c, err := config.Load(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": file, "BALANCER_DISCOVERY": discovery.Listener.Addr().String()}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	change(c)
	if rg.server, err = NewOn(n, c, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	listener, err := listen.Open(c.Listen, c.Accept)
	if err != nil {
		t.Fatal(err)
	}
	rg.url = "http://" + listener.Addr().String()
	go func() { rg.exited <- rg.server.Run(listener, rg.signals, rg.reloads) }()
	t.Cleanup(func() {
		rg.server.loop.Close()
		close(rg.reloads)
		listener.Close()
		rg.server.clients.closeInStates(stateNew, stateIdle, stateReading)
		discovery.CloseClientConnections()
		discovery.Close()
	})
	rg.until("the server is ready", func() bool {
		r, err := http.Get(rg.url + "/ready")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
	return rg
}

// until polls a condition, and fails the test if it does not become true within testTimeout.
func (rg *rig) until(condition string, done func() bool) {
	rg.t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			rg.t.Fatalf("condition not met within %v: %s", testTimeout, condition)
		}
	}
}

// stats returns the state of the core.
func (rg *rig) stats() core.Stats { return rg.server.loop.Stats() }

// open reports whether an endpoint can get new attempts.
func (rg *rig) open(id decision.EndpointID) bool {
	for _, e := range rg.stats().Endpoints {
		if e.ID == id {
			return e.Open
		}
	}
	return false
}

// request returns a client's request of a class.
func (rg *rig) request(class string, remaining time.Duration) *http.Request {
	method := http.MethodPost
	if class == "read" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, rg.url+"/api?x=1&y=%2F", nil)
	if err != nil {
		rg.t.Fatal(err)
	}
	if method == http.MethodPost {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("trip")), 4
	}
	r.Header.Set("X-Txn", fmt.Sprintf("txn%d", rg.txn.Add(1)))
	r.Header.Set("X-Lane", class)
	r.Header.Set("X-Remaining", fmt.Sprintf("%dm", remaining.Milliseconds()))
	if class == "book" {
		r.Header.Set("Idempotency-Key", "k1")
	}
	return r
}

// roundTrip sends a request and returns the status and body of its answer.
func (rg *rig) roundTrip(r *http.Request) (int, string) {
	rg.t.Helper()
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		rg.t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		rg.t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

// startHTTPServer starts an HTTP server at its own loopback address, so that connections left open by
// an earlier test cannot reach the server of a later one.
func startHTTPServer(t *testing.T, serve http.Handler) *httptest.Server {
	t.Helper()
	l, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewUnstartedServer(serve)
	s.Listener.Close()
	s.Listener = l
	s.Start()
	return s
}

// endpointServing starts an endpoint that answers with the handler.
func endpointServing(t *testing.T, uid string, serve http.HandlerFunc) target {
	t.Helper()
	s := startHTTPServer(t, serve)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return target{UID: uid, Address: s.Listener.Addr().String(), Zone: "z", Model: "m", Cell: 1, State: "Ready", Weight: 1}
}

// closeWithoutAnswer closes the connection of a request.
func closeWithoutAnswer(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		c.Close()
	}
}

// awaitCancel blocks until the server has cancelled the attempt.
func awaitCancel(r *http.Request) {
	io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// sendRaw sends a text on a new connection, and returns the status of the answer. The status is 0 if
// the connection is closed without an answer.
func (rg *rig) sendRaw(text string) (status int, c *net.TCPConn) {
	rg.t.Helper()
	dialed, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		rg.t.Fatal(err)
	}
	c = dialed.(*net.TCPConn)
	rg.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, text)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, c
	}
	return res.StatusCode, c
}

// openIdleConns opens n connections that have had one answer and are idle.
func (rg *rig) openIdleConns(n int) (idleConns []*net.TCPConn) {
	rg.t.Helper()
	for range n {
		_, c := rg.sendRaw("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
		idleConns = append(idleConns, c)
	}
	clients := &rg.server.clients
	rg.until("only these connections are open, and they are idle", func() bool {
		http.DefaultClient.CloseIdleConnections()
		clients.mu.Lock()
		defer clients.mu.Unlock()
		return clients.byState[stateIdle].Len() == n && clients.open == n
	})
	return idleConns
}

// beginShutdown sends the signal to stop, and waits until the server has received it.
func (rg *rig) beginShutdown() {
	rg.t.Helper()
	rg.signals <- syscall.SIGTERM
	rg.until("the server is stopping", func() bool { return !rg.server.lifecycle.Deadline().IsZero() })
}

// awaitExit waits until the server exits by itself.
func (rg *rig) awaitExit() {
	rg.t.Helper()
	select {
	case err := <-rg.exited:
		if err != nil {
			rg.t.Error(err)
		}
	case <-time.After(testTimeout):
		rg.t.Errorf("the server did not exit within %v", testTimeout)
	}
}

// send writes a request to a connection and returns its answer. It returns nil if there is none.
func (rg *rig) send(c *net.TCPConn, r *http.Request) *http.Response {
	c.SetDeadline(time.Now().Add(testTimeout))
	if err := r.Write(c); err != nil {
		return nil
	}
	res, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return nil
	}
	io.Copy(io.Discard, res.Body)
	return res
}

// checkableBody returns a body of n bytes in which a missing, repeated or moved part can be detected.
func checkableBody(n int) []byte {
	b := make([]byte, 0, n+sha256.Size)
	for sum := sha256.Sum256(nil); len(b) < n; sum = sha256.Sum256(sum[:]) {
		b = append(b, sum[:]...)
	}
	return b[:n]
}

// dial opens a connection whose reads and writes end after testTimeout.
func (rg *rig) dial() *net.TCPConn {
	rg.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		rg.t.Fatal(err)
	}
	rg.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c.(*net.TCPConn)
}

// awaitNothingBuffered waits until no call is open and no memory for bodies is reserved.
func (rg *rig) awaitNothingBuffered() {
	rg.t.Helper()
	available := core.NewMemory(rg.server.config.Plan()).Bodies.Available()
	rg.until("no call is open and no body is buffered", func() bool {
		return rg.stats().Calls == 0 && rg.server.memory.Bodies.Available() == available
	})
}

// sendOnce sends a request on a new connection and returns its answer.
func (rg *rig) sendOnce(class string) *http.Response {
	rg.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		rg.t.Fatal(err)
	}
	defer c.Close()
	res := rg.send(c.(*net.TCPConn), rg.request(class, 9*time.Second))
	if res == nil {
		rg.t.Fatal("no answer")
	}
	return res
}

// uploading reports whether an attempt has written the head of an upload and is sending the rest.
func (rg *rig) uploading() bool {
	clients := &rg.server.clients
	clients.mu.Lock()
	defer clients.mu.Unlock()
	for element := clients.byState[stateServing].Front(); element != nil; element = element.Next() {
		if element.Value.(*downstreamConn).stream != nil {
			return true
		}
	}
	return false
}
