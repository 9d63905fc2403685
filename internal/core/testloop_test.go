package core

import (
	"sync"
	"testing"
	"time"

	"dykering/internal/decision"
	"dykering/internal/settings"
)

const testTimeout = 20 * time.Second

// memoryConn is a connection in memory.
type memoryConn struct {
	PoolEntry
	closed bool
}

func (l *memoryConn) Close() error { l.closed = true; return nil }

func (l *memoryConn) Alive() bool { return !l.closed }

// textResponse is a response in memory.
type textResponse struct {
	text      string
	discarded chan string
}

func (s textResponse) Discard() { s.discarded <- s.text }

// testLoop is a Loop whose front and upstream are the test's.
type testLoop struct {
	t         *testing.T
	loop      *Loop
	send      func(a *Attempt, n int) Result // the upstream; n counts the sends of a call from 1
	discarded chan string

	mu    sync.Mutex
	sends map[decision.RequestID][]*Attempt
	discoveryCalls []string // of the discovery
}

func (b *testLoop) Send(a *Attempt, over Conn) Result {
	b.mu.Lock()
	b.sends[a.Call.ID] = append(b.sends[a.Call.ID], a)
	n := len(b.sends[a.Call.ID])
	b.mu.Unlock()
	res := b.send(a, n)
	if res.Conn = over; over == nil {
		res.Conn = &memoryConn{}
	}
	return res
}

// recordingDiscovery is a Discovery that records what it is asked for.
type recordingDiscovery struct {
	b       *testLoop
	address string
}

func (l *recordingDiscovery) record(what string) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.b.discoveryCalls = append(l.b.discoveryCalls, l.address+" "+what)
}

func (l *recordingDiscovery) Watch(*uint64) { l.record("watch") }

func (l *recordingDiscovery) Stop() { l.record("stop") }

func (l *recordingDiscovery) Fetch() { l.record("fetch") }

const read, once, keyed = 0, 1, 2

// newTestLoop starts a loop that knows some endpoints.
func newTestLoop(t *testing.T, send func(a *Attempt, n int) Result, targets ...Target) *testLoop {
	t.Helper()
	b := &testLoop{t: t, send: send, sends: map[decision.RequestID][]*Attempt{}, discarded: make(chan string, 100)}
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
	l, err := New(config, b, func(address string, _ Sink) Discovery { return &recordingDiscovery{b, address} })
	if err != nil {
		t.Fatal(err)
	}
	b.loop = l
	go l.Run()
	return b
}

func (b *testLoop) served(text string) Result {
	return Result{Status: decision.OK, Elapsed: 5 * time.Millisecond, Response: textResponse{text, b.discarded}}
}

// submit submits a call.
func (b *testLoop) submit(id string, class int) *Call {
	c := NewCall(decision.Request{ID: decision.RequestID(id), Class: class, Remaining: 10 * time.Second}, id)
	b.loop.Submit(c, time.Now())
	return c
}

// finalAnswer waits for a call's answer, and returns its text or its kind.
func (b *testLoop) finalAnswer(c *Call) string {
	b.t.Helper()
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
		b.t.Fatal("no answer to ", c.ID)
		return ""
	}
}

// until waits for something that shows in what the loop holds.
func (b *testLoop) waitFor(what string, done func(Stats) bool) {
	b.t.Helper()
	for end := time.Now().Add(testTimeout); !done(b.loop.Stats()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatal("never: ", what)
		}
	}
}

func ready(uid string, bootMS int64) Target {
	return Target{UID: uid, Address: "127.0.0.1:9", Zone: "z", Model: "m", State: "Ready", Weight: 1, BootMS: bootMS}
}
