package decision

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

type sent struct {
	id      RequestID
	to      EndpointID
	attempt int
	timeout time.Duration
	within  time.Duration
}

// recordingHost is a Host that records what it is asked to do, with a clock.
type recordingHost struct {
	now              time.Duration
	sent             []sent
	attempts         map[RequestID]int
	fails, refusals  []RequestID
	retryAfters      []time.Duration // when refused clients should come back
	cancels          []sent
	timers           map[uint64]time.Duration // token to due time
	watches, fetches int
	duplicateTimers  int // timers that were set while one of their token was running
	logs             []string
}

func (h *recordingHost) Send(id RequestID, to EndpointID, timeout, within time.Duration) {
	h.sent = append(h.sent, sent{id, to, h.attempts[id], timeout, within})
	h.attempts[id]++
}

func (h *recordingHost) Refuse(id RequestID, after time.Duration) {
	h.refusals = append(h.refusals, id)
	h.retryAfters = append(h.retryAfters, after)
}

func (h *recordingHost) Fail(id RequestID) { h.fails = append(h.fails, id) }

func (h *recordingHost) Cancel(id RequestID, n int) {
	h.cancels = append(h.cancels, sent{id: id, attempt: n})
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
func (h *recordingHost) last() sent { return h.sent[len(h.sent)-1] }

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
	h := &recordingHost{timers: map[uint64]time.Duration{}, attempts: map[RequestID]int{}, now: time.Second}
	b, err := New(s, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	l := List{Kind: CachedList, Version: 1}
	for i := 1; i <= n; i++ {
		l.Entries = append(l.Entries, Entry{Endpoint: EndpointID(i), Cell: (i - 1) / 2, Weight: 1})
	}
	b.Targets(h.now, l)
	return &harness{recordingHost: h, t: t, b: b}
}

// list hands over a delta with one entry.
func (d *harness) list(e Entry) {
	d.b.Targets(d.now, List{Kind: DeltaList, Version: 2, Entries: []Entry{e}})
}

// applyDelta hands over a delta with one entry and a version.
func (d *harness) applyDelta(version uint64, e Entry) {
	d.b.Targets(d.now, List{Kind: DeltaList, Version: version, Entries: []Entry{e}})
}

// request brings a request with 1.5 s left.
func (d *harness) request(class int) RequestID {
	d.n++
	id := RequestID(fmt.Sprint("r", d.n))
	d.b.Request(d.now, Request{ID: id, Class: class, Remaining: 1500 * ms})
	return id
}

// finish reports the outcome of a send.
func (d *harness) finish(s sent, status Status, took time.Duration) {
	d.b.Outcome(d.now, Outcome{
		ID: s.id, Endpoint: s.to, Attempt: s.attempt, Final: status == OK, Status: status,
		Elapsed: took,
	})
}

// advance lets time pass, with the timers that expire.
func (d *harness) advance(by time.Duration) {
	for until := d.now + by; d.now < until; d.now += 2 * ms {
		for _, token := range []uint64{tokenTick, tokenWatch} {
			if due, ok := d.timers[token]; ok && due <= d.now {
				delete(d.timers, token)
				d.b.Timer(d.now, token)
			}
		}
	}
}

// serve runs requests one after another for a while, each answered after 20 ms but where answer says
// otherwise, and counts the sends to each endpoint.
func (d *harness) serve(n int, answer func(to EndpointID) Status) map[EndpointID]int {
	got := map[EndpointID]int{}
	for range n {
		at := len(d.sent)
		d.request(read)
		d.advance(20 * ms)
		for at < len(d.sent) {
			s := d.sent[at]
			at++
			got[s.to]++
			status := OK
			if answer != nil {
				status = answer(s.to)
			}
			d.finish(s, status, 20*ms)
		}
	}
	return got
}

// work keeps some calls of a latency in flight for a while.
func (d *harness) work(atOnce int, took, lasts time.Duration) {
	for end := d.now + lasts; d.now < end; {
		at := len(d.sent)
		for range atOnce {
			d.request(read)
		}
		d.advance(took)
		for _, s := range d.sent[at:] {
			d.finish(s, OK, took)
		}
	}
}

// fill brings requests until nothing more is sent, and returns how many were sent.
func (d *harness) fill() (n int) {
	for at := -1; at < len(d.sent); n++ {
		at = len(d.sent)
		d.request(read)
	}
	return n - 1
}

// successor makes a harness that has restored this one's snapshot.
func (d *harness) successor(s Settings, n int) *harness {
	d.t.Helper()
	text, err := json.Marshal(d.b.Snapshot(d.now))
	if err != nil {
		d.t.Fatal(err)
	}
	var l Snapshot
	if err := json.Unmarshal(text, &l); err != nil {
		d.t.Fatal(err)
	}
	h := start(d.t, s, n)
	h.advance(17 * ms) // the clocks differ
	if err := h.b.Restore(h.now, l); err != nil {
		d.t.Fatal(err)
	}
	return h
}
