package decision

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

type sentCall struct {
	id      RequestID
	to      EndpointID
	attempt int
	timeout time.Duration
	within  time.Duration
}

// recordingHost is a Host that records what it is asked to do, with a clock.
type recordingHost struct {
	now              time.Duration
	sent             []sentCall
	attempts         map[RequestID]int
	fails, refusals  []RequestID
	retryAfters      []time.Duration // when refused clients should come back
	cancels          []sentCall
	timers           map[uint64]time.Duration // token to due time
	watches, fetches int
	duplicateTimers  int // timers that were set while one of their token was running
	logs             []string
}

func (h *recordingHost) Send(id RequestID, to EndpointID, timeout, within time.Duration) {
	h.sent = append(h.sent, sentCall{id, to, h.attempts[id], timeout, within})
	h.attempts[id]++
}

func (h *recordingHost) Refuse(id RequestID, after time.Duration) {
	h.refusals = append(h.refusals, id)
	h.retryAfters = append(h.retryAfters, after)
}

func (h *recordingHost) Fail(id RequestID) { h.fails = append(h.fails, id) }

func (h *recordingHost) Cancel(id RequestID, n int) {
	h.cancels = append(h.cancels, sentCall{id: id, attempt: n})
}

func (h *recordingHost) SetTimer(token uint64, after time.Duration) {
	if _, ok := h.timers[token]; ok {
		h.duplicateTimers++
	}
	h.timers[token] = h.now + after
}

func (h *recordingHost) Watch(bool) { h.watches++ }

func (h *recordingHost) Fetch() { h.fetches++ }

func (h *recordingHost) Log(text string) { h.logs = append(h.logs, text) }

// last is the latest send.
func (h *recordingHost) last() sentCall { return h.sent[len(h.sent)-1] }

// settings are those of the only instance, with a class for each effect.
func settings() Settings {
	c := Class{LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1}
	read, pay, book := c, c, c
	read.Name, read.Effect = "read", Safe
	pay.Name, pay.Effect = "pay", Unsafe
	book.Name, book.Effect, book.Scope, book.Window = "book", Keyed, ScopeCell, 5*time.Second
	return Settings{
		Instances: 1, Quantum: 2 * ms, MayCancel: true, MaxAttempts: 4, ConnectTimeout: 100 * ms,
		ColdCapacity: 0.2, WarmUp: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second, DiscoveryInterval: 10 * time.Second,
		Classes: []Class{read, pay, book},
	}
}

const read, pay, book = 0, 1, 2

// harness is a Balancer under test with its recording host.
type harness struct {
	*recordingHost
	t *testing.T
	b *Balancer
	n int
}

// start makes a Balancer that knows n warm endpoints, numbered from 1, two to a cell.
func start(t *testing.T, s Settings, n int) *harness {
	t.Helper()
	host := &recordingHost{timers: map[uint64]time.Duration{}, attempts: map[RequestID]int{}, now: time.Second}
	b, err := New(s, 7, host)
	if err != nil {
		t.Fatal(err)
	}
	l := List{Kind: CachedList, Version: 1}
	for i := 1; i <= n; i++ {
		l.Entries = append(l.Entries, Entry{Endpoint: EndpointID(i), Cell: (i - 1) / 2, Weight: 1})
	}
	b.Targets(host.now, l)
	return &harness{recordingHost: host, t: t, b: b}
}

// updateEntry hands over a delta with one entry.
func (h *harness) updateEntry(e Entry) {
	h.b.Targets(h.now, List{Kind: DeltaList, Version: 2, Entries: []Entry{e}})
}

// applyDelta hands over a delta with one entry and a version.
func (h *harness) applyDelta(version uint64, e Entry) {
	h.b.Targets(h.now, List{Kind: DeltaList, Version: version, Entries: []Entry{e}})
}

// request brings a request with 1.5 s left.
func (h *harness) request(class int) RequestID {
	h.n++
	id := RequestID(fmt.Sprint("r", h.n))
	h.b.Request(h.now, Request{ID: id, Class: class, Remaining: 1500 * ms})
	return id
}

// reportOutcome reports the outcome of a send.
func (h *harness) reportOutcome(s sentCall, status Status, took time.Duration) {
	h.b.Outcome(h.now, Outcome{
		ID: s.id, Endpoint: s.to, Attempt: s.attempt, Final: status == OK, Status: status,
		Elapsed: took,
	})
}

// advance lets time pass, with the timers that expire.
func (h *harness) advance(by time.Duration) {
	for until := h.now + by; h.now < until; h.now += 2 * ms {
		for _, token := range []uint64{tokenTick, tokenWatch} {
			if due, ok := h.timers[token]; ok && due <= h.now {
				delete(h.timers, token)
				h.b.Timer(h.now, token)
			}
		}
	}
}

// serve runs requests one after another for a while, each answered after 20 ms but where answer says
// otherwise, and counts the sends to each endpoint.
func (h *harness) serve(n int, answer func(to EndpointID) Status) map[EndpointID]int {
	got := map[EndpointID]int{}
	for range n {
		at := len(h.sent)
		h.request(read)
		h.advance(20 * ms)
		for at < len(h.sent) {
			s := h.sent[at]
			at++
			got[s.to]++
			status := OK
			if answer != nil {
				status = answer(s.to)
			}
			h.reportOutcome(s, status, 20*ms)
		}
	}
	return got
}

// serveBatches keeps some calls of a latency in flight for a while.
func (h *harness) serveBatches(atOnce int, took, lasts time.Duration) {
	for end := h.now + lasts; h.now < end; {
		at := len(h.sent)
		for range atOnce {
			h.request(read)
		}
		h.advance(took)
		for _, s := range h.sent[at:] {
			h.reportOutcome(s, OK, took)
		}
	}
}

// requestUntilLimit brings requests until nothing more is sent, and returns how many were sent.
func (h *harness) requestUntilLimit() (n int) {
	for at := -1; at < len(h.sent); n++ {
		at = len(h.sent)
		h.request(read)
	}
	return n - 1
}

// successor makes a harness that has restored this one's snapshot.
func (h *harness) successor(s Settings, n int) *harness {
	h.t.Helper()
	text, err := json.Marshal(h.b.Snapshot(h.now))
	if err != nil {
		h.t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		h.t.Fatal(err)
	}
	next := start(h.t, s, n)
	next.advance(17 * ms) // the clocks differ
	if err := next.b.Restore(next.now, snapshot); err != nil {
		h.t.Fatal(err)
	}
	return next
}
