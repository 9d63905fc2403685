package core

import (
	"sync"
	"testing"
	"time"

	"dykering/internal/decision"
	"dykering/internal/settings"
)

// testTimeout bounds each wait of a test, so that a failure does not hang.
const testTimeout = 20 * time.Second

// memoryConn is an in-memory Conn.
type memoryConn struct {
	PoolEntry
	closed bool
}

func (c *memoryConn) Close() error { c.closed = true; return nil }

func (c *memoryConn) Alive() bool { return !c.closed }

// textResponse is an in-memory Response that reports when it is discarded.
type textResponse struct {
	text      string
	discarded chan string
}

func (r textResponse) Discard() { r.discarded <- r.text }

// testLoop is a running Loop for which the test acts as frontend and upstream.
type testLoop struct {
	t         *testing.T
	loop      *Loop
	send      func(a *Attempt, n int) Result // implements the upstream; n is the number of the attempt of its call, from 1
	discarded chan string

	mu             sync.Mutex
	sends          map[decision.RequestID][]*Attempt // attempts by call
	discoveryCalls []string                          // calls of the discovery clients, as "address method"
}

func (tl *testLoop) Send(a *Attempt, idle Conn) Result {
	tl.mu.Lock()
	tl.sends[a.Call.ID] = append(tl.sends[a.Call.ID], a)
	n := len(tl.sends[a.Call.ID])
	tl.mu.Unlock()
	res := tl.send(a, n)
	if res.Conn = idle; idle == nil {
		res.Conn = &memoryConn{}
	}
	return res
}

// recordingDiscovery is a Discovery that records the calls of its methods.
type recordingDiscovery struct {
	tl      *testLoop
	address string
}

func (d *recordingDiscovery) record(method string) {
	d.tl.mu.Lock()
	defer d.tl.mu.Unlock()
	d.tl.discoveryCalls = append(d.tl.discoveryCalls, d.address+" "+method)
}

func (d *recordingDiscovery) Watch(*uint64) { d.record("watch") }

func (d *recordingDiscovery) Stop() { d.record("stop") }

func (d *recordingDiscovery) Fetch() { d.record("fetch") }

// Indexes of the classes that newTestLoop configures.
const (
	read  = 0 // safe to retry
	once  = 1 // unsafe to retry
	keyed = 2 // deduplicated by its key within a window
)

// newTestLoop starts a loop whose cached list has the given targets.
func newTestLoop(t *testing.T, send func(a *Attempt, n int) Result, targets ...Target) *testLoop {
	t.Helper()
	tl := &testLoop{t: t, send: send, sends: map[decision.RequestID][]*Attempt{}, discarded: make(chan string, 100)}
	class := decision.Class{LatencyTarget: 9 * time.Second, Deadline: 10 * time.Second, Value: 1}
	safe, unsafe, withKey := class, class, class
	withKey.Name, withKey.Effect, withKey.Scope, withKey.Window = "keyed", decision.Keyed, decision.ScopeAll, 4*time.Second
	safe.Name, safe.Effect, unsafe.Name, unsafe.Effect = "read", decision.Safe, "once", decision.Unsafe
	balancer := decision.Settings{
		Instances:          1,
		Quantum:            time.Millisecond,
		MayCancel:          true,
		ClientsMarkRetries: true,
		MaxAttempts:        3,
		MaxRetryAfter:      time.Second,
		ConnectTimeout:     time.Second,
		WarmUp:             time.Second,
		ColdCapacity:       0.5,
		OverloadMultiple:   3,
		OverloadWindow:     time.Second,
		Classes:            []decision.Class{safe, unsafe, withKey},
	}
	config := Config{
		Settings:         settings.Settings{OpenCap: 50, Settings: balancer},
		Limits:           Limits{MemoryMB: 64, Sockets: 1024},
		DiscoveryAddress: "first",
		CachedList:       List{Rev: 1, Full: true, Targets: targets},
	}
	l, err := New(config, tl, func(address string, _ Sink) Discovery { return &recordingDiscovery{tl, address} })
	if err != nil {
		t.Fatal(err)
	}
	tl.loop = l
	go l.Run()
	return tl
}

// served returns a successful result with the given text.
func (tl *testLoop) served(text string) Result {
	return Result{Status: decision.OK, Elapsed: 5 * time.Millisecond, Response: textResponse{text, tl.discarded}}
}

// submit submits a call with the given ID and class. Its message is the ID.
func (tl *testLoop) submit(id string, class int) *Call {
	c := NewCall(decision.Request{ID: decision.RequestID(id), Class: class, Remaining: 10 * time.Second}, id)
	tl.loop.Submit(c, time.Now())
	return c
}

// finalAnswer waits for the answer to a call. It returns the text of the response, "refused" or "failed".
func (tl *testLoop) finalAnswer(c *Call) string {
	tl.t.Helper()
	select {
	case a := <-c.Answered:
		switch {
		case a.Response != nil:
			return a.Response.(textResponse).text
		case a.Retryable:
			return "refused"
		}
		return "failed"
	case <-time.After(testTimeout):
		tl.t.Fatal("no answer to ", c.ID)
		return ""
	}
}

// waitFor waits until the statistics of the loop meet a condition, which what describes.
func (tl *testLoop) waitFor(what string, done func(Stats) bool) {
	tl.t.Helper()
	for end := time.Now().Add(testTimeout); !done(tl.loop.Stats()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tl.t.Fatalf("timeout while waiting for %s", what)
		}
	}
}

// ready returns a target in the state Ready.
func ready(uid string, bootMS int64) Target {
	return Target{UID: uid, Address: "127.0.0.1:9", Zone: "z", Model: "m", State: "Ready", Weight: 1, BootMS: bootMS}
}
