package decision

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// sentCall holds the arguments of one Host.Send, and the number of the attempt.
type sentCall struct {
	id      RequestID
	to      EndpointID
	attempt int
	timeout time.Duration
	within  time.Duration
}

// recordingHost is a Host that records the actions of a Balancer. It also holds the clock of the test.
type recordingHost struct {
	now              time.Duration
	sent             []sentCall
	attempts         map[RequestID]int
	fails, refusals  []RequestID
	retryAfters      []time.Duration // the waits that refused clients were told, in the order of refusals
	cancels          []sentCall
	timers           map[uint64]time.Duration // due time by token
	watches, fetches int
	duplicateTimers  int // timers that were set while a timer with the same token was running
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

func (h *recordingHost) Cancel(id RequestID, attempt int) {
	h.cancels = append(h.cancels, sentCall{id: id, attempt: attempt})
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

// last returns the latest sent call.
func (h *recordingHost) last() sentCall { return h.sent[len(h.sent)-1] }

// settings returns the settings of a single instance, with one class for each effect.
func settings() Settings {
	c := Class{LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1}
	read, pay, book := c, c, c
	read.Name, read.Effect = "read", Safe
	pay.Name, pay.Effect = "pay", Unsafe
	book.Name, book.Effect, book.Scope, book.Window = "book", Keyed, ScopeCell, 5*time.Second
	return Settings{
		Instances: 1, Quantum: 2 * ms, MayCancel: true, MaxAttempts: 4, ConnectTimeout: 100 * ms,
		ColdCapacity: 0.2, WarmUp: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		DiscoveryInterval: 10 * time.Second,
		Classes:           []Class{read, pay, book},
	}
}

// The indices of the classes: read is Safe, pay is Unsafe and book is Keyed.
const read, pay, book = 0, 1, 2

// harness is a Balancer under test with its recording host.
type harness struct {
	*recordingHost
	t *testing.T
	b *Balancer
	n int
}

// start returns a harness whose Balancer has a list of n warm endpoints, numbered from 1, with two in each
// cell.
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

// updateEntry applies a delta of version 2 with one entry.
func (h *harness) updateEntry(e Entry) {
	h.b.Targets(h.now, List{Kind: DeltaList, Version: 2, Entries: []Entry{e}})
}

// applyDelta applies a delta of the given version with one entry.
func (h *harness) applyDelta(version uint64, e Entry) {
	h.b.Targets(h.now, List{Kind: DeltaList, Version: version, Entries: []Entry{e}})
}

// request submits a request with 1.5 s of remaining time and returns its ID.
func (h *harness) request(class int) RequestID {
	h.n++
	id := RequestID(fmt.Sprint("r", h.n))
	h.b.Request(h.now, Request{ID: id, Class: class, Remaining: 1500 * ms})
	return id
}

// reportOutcome reports the outcome of a sent call; it is final if the status is OK.
func (h *harness) reportOutcome(s sentCall, status Status, took time.Duration) {
	h.b.Outcome(h.now, Outcome{
		ID: s.id, Endpoint: s.to, Attempt: s.attempt, Final: status == OK, Status: status,
		Elapsed: took,
	})
}

// advance moves the clock forward and reports the timers that expire.
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

// serve submits n requests one after another, with 20 ms each, and returns the number of calls to each
// endpoint. Each call ends with the status that answer returns, or with OK if answer is nil.
func (h *harness) serve(n int, answer func(to EndpointID) Status) map[EndpointID]int {
	calls := map[EndpointID]int{}
	for range n {
		next := len(h.sent)
		h.request(read)
		h.advance(20 * ms)
		for next < len(h.sent) {
			s := h.sent[next]
			next++
			calls[s.to]++
			status := OK
			if answer != nil {
				status = answer(s.to)
			}
			h.reportOutcome(s, status, 20*ms)
		}
	}
	return calls
}

// serveBatches submits batches of concurrent requests for the given duration; each call is answered after
// latency.
func (h *harness) serveBatches(batchSize int, latency, duration time.Duration) {
	for end := h.now + duration; h.now < end; {
		first := len(h.sent)
		for range batchSize {
			h.request(read)
		}
		h.advance(latency)
		for _, s := range h.sent[first:] {
			h.reportOutcome(s, OK, latency)
		}
	}
}

// requestUntilLimit submits requests until one is not sent, and returns the number of sent ones.
func (h *harness) requestUntilLimit() (n int) {
	for before := -1; before < len(h.sent); n++ {
		before = len(h.sent)
		h.request(read)
	}
	return n - 1
}

// successor returns a new harness whose Balancer has restored the snapshot of this one.
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
	next.advance(17 * ms) // so that the clocks of the two differ
	if err := next.b.Restore(next.now, snapshot); err != nil {
		h.t.Fatal(err)
	}
	return next
}
