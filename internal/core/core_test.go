package core

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

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
func (l *memoryConn) Alive() bool  { return !l.closed }

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
	asked []string // of the discovery
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
	l.b.asked = append(l.b.asked, l.address+" "+what)
}
func (l *recordingDiscovery) Watch(*uint64) { l.record("watch") }
func (l *recordingDiscovery) Stop()         { l.record("stop") }
func (l *recordingDiscovery) Fetch()        { l.record("fetch") }

const read, once, keyed = 0, 1, 2

// newTestLoop starts a loop that knows some endpoints.
func newTestLoop(t *testing.T, send func(a *Attempt, n int) Result, targets ...Target) *testLoop {
	t.Helper()
	b := &testLoop{t: t, send: send, sends: map[decision.RequestID][]*Attempt{}, discarded: make(chan string, 100)}
	class := decision.Class{LatencyTarget: 9 * time.Second, Deadline: 10 * time.Second, Value: 1}
	safe, unsafe, withKey := class, class, class
	withKey.Name, withKey.Effect, withKey.Scope, withKey.Window = "keyed", decision.Keyed, decision.ScopeAll, 4*time.Second
	safe.Name, safe.Effect, unsafe.Name, unsafe.Effect = "read", decision.Safe, "once", decision.Unsafe
	s := settings.Settings{OpenCap: 50, Settings: decision.Settings{Instances: 1, Quantum: time.Millisecond,
		MayCancel: true, ClientsMarkRetries: true, MaxAttempts: 3, ConnectTimeout: time.Second, WarmUp: time.Second, ColdCapacity: 0.5, OverloadMultiple: 3,
		OverloadWindow: time.Second, MaxRetryAfter: time.Second, Classes: []decision.Class{safe, unsafe, withKey}}}
	l, err := New(Config{Settings: s, Limits: Limits{MemoryMB: 64, Sockets: 1024}, DiscoveryAddress: "first",
		CachedList: List{Rev: 1, Full: true, Targets: targets}}, b,
		func(address string, _ Sink) Discovery { return &recordingDiscovery{b, address} })
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

// final waits for a call's answer, and returns its text or its kind.
func (b *testLoop) final(c *Call) string {
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

// Every way in which an attempt can end has one final answer, repeats only as the class allows, and leaves nothing
// behind.
func TestEachOutcomeGivesOneAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		first      Result
		read, once string // final answer, and
		reads      int    // attempts
		onces      int
	}{
		"error":          {Result{Status: decision.Error}, "again", "failed", 2, 1},
		"full":           {Result{Status: decision.Rejected}, "again", "again", 2, 2},
		"time-out":       {Result{Status: decision.Timeout}, "again", "failed", 2, 1},
		"connect failed": {Result{Status: decision.ConnectFailed}, "again", "again", 2, 2},
		"reset":          {Result{Status: decision.Reset}, "again", "failed", 2, 1},
		"cancelled":      {Result{Status: decision.Cancelled}, "again", "failed", 2, 1},
		"moot":           {Result{Status: decision.NotSent}, "again", "again", 2, 2},
		"spoilt":         {Result{Status: decision.InvalidResponse}, "again", "failed", 2, 1},
		"full, spent":    {Result{Status: decision.Rejected, NotReplayable: true}, "refused", "refused", 1, 1},
		"error, spent":   {Result{Status: decision.Error, NotReplayable: true}, "refused", "failed", 1, 1},
	} {
		for class, want := range []string{tc.read, tc.once} {
			b := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
			b.send = func(a *Attempt, n int) Result {
				if n == 1 {
					return tc.first
				}
				return b.served("again")
			}
			c := b.submit(fmt.Sprint(name, class), class)
			if got := b.final(c); got != want {
				t.Errorf("%s, class %d: %s, want %s", name, class, got, want)
			}
			b.waitFor("it is forgotten", func(s Stats) bool { return s.Calls+s.Attempts == 0 && s.Conns == s.IdleConns })
			b.mu.Lock()
			if got, most := len(b.sends[c.ID]), []int{tc.reads, tc.onces}[class]; got != most {
				t.Errorf("%s, class %d: %d attempts, want %d", name, class, got, most)
			}
			b.mu.Unlock()
		}
	}
}

// A repeat of a keyed call that may have run is told by when its last byte must be out; nothing else is.
func TestKeyedRetryHasSendBound(t *testing.T) {
	for _, class := range []int{read, keyed} {
		b := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
		b.send = func(a *Attempt, n int) Result { return []Result{{Status: decision.Error}, b.served("again")}[n-1] }
		c := b.submit("x", class)
		if got := b.final(c); got != "again" {
			t.Error(got)
		}
		first, second := b.sends[c.ID][0], b.sends[c.ID][1]
		window := b.loop.config.Settings.Classes[class].Window
		if !first.SendBy.IsZero() || second.SendBy.IsZero() != (class == read) || second.SendBy.After(first.sentAt.Add(window)) {
			t.Errorf("class %d: out by %v and %v, sent %v", class, first.SendBy, second.SendBy, first.sentAt)
		}
	}
}

// An answer that is given at once, or whose end is still to come, is the call's; what nobody wants is let go of.
func TestResponseIsDeliveredOrDiscarded(t *testing.T) {
	goOn := make(chan bool)
	b := newTestLoop(t, nil, ready("s-1", 0))
	b.send = func(a *Attempt, n int) Result {
		switch a.Call.Message {
		case "long":
			if _, ok := a.StartResponse(textResponse{"begun", b.discarded}); !ok {
				t.Error("out of time")
			}
			<-goOn
			return Result{Status: decision.OK}
		case "left":
			<-a.Ctx.Done()
			return b.served("too late")
		}
		return b.served("whole")
	}
	if got := b.final(b.submit("short", once)); got != "whole" {
		t.Error(got)
	}
	if got := b.final(b.submit("long", once)); got != "begun" {
		t.Error(got)
	}
	b.waitFor("it is still under way", func(s Stats) bool { return s.Calls == 1 && s.Attempts == 1 })
	goOn <- true
	left := b.submit("left", once)
	b.waitFor("it is out", func(s Stats) bool { return s.Attempts == 1 })
	b.loop.Abandon(left)
	if got := <-b.discarded; got != "too late" {
		t.Error(got)
	}
	b.waitFor("all is forgotten", func(s Stats) bool { return s.Calls+s.Attempts == 0 })
	if len(left.Answered) > 0 {
		t.Error("a client that has gone gets an answer")
	}
}

// An id that is taken, or was a moment ago, gets an answer that promises nothing, and never runs.
func TestRepeatedIDIsAnsweredWithoutPromise(t *testing.T) {
	goOn := make(chan bool)
	b := newTestLoop(t, nil, ready("s-1", 0))
	b.send = func(a *Attempt, n int) Result { <-goOn; return b.served("ok") }
	first := b.submit("x", read)
	if got := b.final(b.submit("x", read)); got != "failed" {
		t.Error(got)
	}
	goOn <- true
	if got := b.final(first); got != "ok" {
		t.Error(got)
	}
	b.waitFor("it is forgotten", func(s Stats) bool { return s.Calls == 0 })
	if got := b.final(b.submit("x", read)); got != "failed" || len(b.sends["x"]) != 1 {
		t.Errorf("%s after %d sends", got, len(b.sends["x"]))
	}
	var held []*Call
	for i := range 51 {
		held = append(held, b.submit(fmt.Sprint(i), read))
	}
	if got := b.final(held[50]); got != "refused" {
		t.Errorf("beyond the cap: %s", got)
	}
	close(goOn)
	for _, c := range held[:50] {
		b.final(c)
	}
}

// A call whose client has gone is called off, at once, and forgotten.
func TestAbandonedCallIsCancelledAndForgotten(t *testing.T) {
	out, calledOff := make(chan bool, 1), make(chan bool, 1)
	b := newTestLoop(t, func(a *Attempt, n int) Result {
		out <- true
		select {
		case <-a.Ctx.Done():
			calledOff <- true
		case <-time.After(2 * time.Second):
			calledOff <- false
		}
		return Result{Status: decision.Cancelled}
	}, ready("s-1", 0))
	c := b.submit("1", once)
	<-out
	b.loop.Abandon(c)
	if !<-calledOff {
		t.Error("its client has gone, and the attempt goes on")
	}
	b.waitFor("the call is forgotten", func(s Stats) bool { return s.Calls == 0 })
}

// At the end of its process a call is answered, and what is out is called off.
func TestDrainAnswersCallsAndCancelsAttempts(t *testing.T) {
	b := newTestLoop(t, nil, ready("s-1", 0))
	b.send = func(a *Attempt, n int) Result {
		<-a.Ctx.Done()
		if !errors.Is(context.Cause(a.Ctx), context.Canceled) {
			return Result{Status: decision.Timeout}
		}
		return Result{Status: decision.Cancelled}
	}
	calls := []*Call{b.submit("r", read), b.submit("o", once)}
	b.waitFor("they are out", func(s Stats) bool { return s.Attempts == 2 })
	end := time.Now().Add(50 * time.Millisecond)
	b.loop.Drain(end, true)
	for i, want := range []string{"refused", "failed"} {
		if got := b.final(calls[i]); got != want || time.Now().Before(end) {
			t.Errorf("%s, want %s at the end", got, want)
		}
	}
	if got := b.final(b.submit("late", read)); got != "refused" {
		t.Error(got)
	}
}

// What an endpoint has when it drains it may end; it gets nothing new, and no connection to it is kept.
func TestDrainingEndpointKeepsCallsAndLosesIdleConnections(t *testing.T) {
	goOn := make(chan bool)
	b := newTestLoop(t, nil, ready("s-1", 0))
	b.send = func(a *Attempt, n int) Result {
		if a.Call.ID == "slow" {
			<-goOn
		}
		return b.served(a.Endpoint.Address)
	}
	slow := b.submit("slow", once)
	b.final(b.submit("quick", once))
	b.waitFor("one is idle", func(s Stats) bool { return s.IdleConns == 1 && s.Attempts == 1 })
	drains, other := ready("s-1", 0), ready("s-2", 0)
	drains.State, other.Address = "Terminating", "127.0.0.1:10"
	b.loop.Post(func() {
		b.loop.ListReceived(b.loop.discovery, List{Rev: 2, Targets: []Target{drains, other}}, FromWatch)
	})
	b.waitFor("it is taken in", func(s Stats) bool { return s.Revision == 2 && s.IdleConns == 0 })
	for i := range 9 {
		if got := b.final(b.submit(fmt.Sprint(i), read)); got != other.Address {
			t.Errorf("a call went to %s", got)
		}
	}
	goOn <- true
	if got := b.final(slow); got != drains.Address {
		t.Errorf("what was running: %s", got)
	}
	b.waitFor("its connection is closed", func(s Stats) bool { return s.Conns == s.IdleConns && s.IdleConns == 1 })
}

// Lists reach the Balancer in order: what is older than its list is dropped, and what another discovery says is not
// heard.
func TestOlderListsAreDropped(t *testing.T) {
	b := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
	open := func(uid string) (open bool) {
		told := make(chan bool)
		b.loop.Post(func() {
			e := b.loop.endpoints.byID[b.loop.endpoints.id(uid)]
			told <- e != nil && e.IsOpen()
		})
		return <-told
	}
	tell := func(from Discovery, l List, how Source) {
		b.loop.Post(func() { b.loop.ListReceived(from, l, how) })
	}
	draining := ready("s-1", 0)
	draining.State = "Terminating"
	first := b.loop.discovery
	tell(first, List{Rev: 5, Targets: []Target{draining}}, FromWatch)
	tell(first, List{Rev: 4, Full: true, Targets: []Target{ready("s-1", 0)}}, FromFetch)
	tell(first, List{Rev: 5, Targets: []Target{ready("s-1", 0)}}, FromWatch)
	if open("s-1") || !open("s-2") || b.loop.Stats().Revision != 5 {
		t.Error("an older list undid a drain")
	}
	tell(first, List{Rev: 6, Full: true, Targets: []Target{ready("s-1", 0)}}, FromFetch)
	if !open("s-1") || open("s-2") {
		t.Error("a newer list is not followed")
	}
	tell(first, List{Rev: 5, Full: true, Targets: []Target{ready("s-2", 0)}}, FromWatch)
	if s := b.loop.Stats(); s.Revision != 6 || !s.AwaitingFullList || !open("s-1") || open("s-2") {
		t.Errorf("an older whole list of a watch is taken without a look at what holds now: %+v", s)
	}
	tell(b.loop.discovery, List{Rev: 6, Full: true, Targets: []Target{ready("s-1", 0)}}, FromFetch)
	for range 3 { // a copy of discovery that lags must not have it asked without end
		tell(b.loop.discovery, List{Rev: 5, Full: true, Targets: []Target{ready("s-2", 0)}}, FromWatch)
	}
	if s := b.loop.Stats(); s.Revision != 6 || s.AwaitingFullList || !open("s-1") || open("s-2") {
		t.Errorf("older whole lists, one after another: %+v", s)
	}
	b.loop.SwitchDiscovery("second")
	tell(first, List{Rev: 9, Full: true}, FromFetch)
	b.loop.Post(func() { b.loop.ListFailed(first, errors.New("old")) })
	if s := b.loop.Stats(); s.Revision != 6 || !s.AwaitingFullList || s.DiscoveryAddress != "second" || !open("s-1") {
		t.Errorf("the old discovery is heard: %+v", s)
	}
	tell(b.loop.discovery, List{Rev: 3, Targets: []Target{ready("s-3", 0)}}, FromWatch)
	tell(b.loop.discovery, List{Rev: 2, Full: true, Targets: []Target{ready("s-4", 0)}}, FromFetch)
	if s := b.loop.Stats(); s.Revision != 2 || s.AwaitingFullList || open("s-3") || !open("s-4") {
		t.Errorf("the new discovery is followed from changes on, or not at all: %+v", s)
	}
	want := "[first watch first stop first fetch first watch first stop first watch " +
		"first stop second fetch second watch second stop second watch]"
	if got := fmt.Sprint(b.asked); got != want {
		t.Errorf("asked %s, want %s", got, want)
	}
}

// A discovery that begins to count anew for a second time, shortly after the first, is asked again once the pause is over,
// and not where something newer has come by then: what it says would be passed over without end.
func TestOlderFullListOfWatchCausesResync(t *testing.T) {
	for _, newer := range []bool{false, true} {
		b := newTestLoop(t, nil, ready("s-1", 0))
		const pause = time.Second
		tell := func(rev uint64, how Source) {
			b.loop.Post(func() {
				b.loop.ListReceived(b.loop.discovery, List{Rev: rev, Full: true, Targets: []Target{ready("s-1", 0)}}, how)
			})
		}
		asked := func() (n int) {
			got := make(chan int)
			b.loop.Post(func() { got <- len(b.asked) })
			return <-got
		}
		tell(9, FromWatch)
		tell(8, FromWatch)
		tell(8, FromFetch) // what holds now
		b.loop.Post(func() { b.loop.resyncBackoff = pause })
		before := asked()
		tell(7, FromWatch)
		if newer {
			tell(10, FromWatch)
		}
		if asked() != before {
			t.Error("asked anew at once, for the second time")
		}
		end := time.Now().Add(2 * pause)
		if !newer {
			end = end.Add(time.Minute) // it comes sooner
		}
		again := false
		for ; !again && time.Now().Before(end); time.Sleep(time.Millisecond) {
			again = asked() > before
		}
		if again == newer {
			t.Errorf("something newer came %v: asked anew %v", newer, again)
		}
	}
}

// A line of a whole list that cannot be acted on loses nothing that was there: its endpoint stays as it was, one that
// drains too, and others are served on. One that is not named has gone.
func TestMalformedLinesKeepTheirEndpoints(t *testing.T) {
	drains := ready("s-4", 0)
	drains.State = "Terminating"
	for name, spoil := range map[string]func(*Target){
		"state":   func(x *Target) { x.State = "Reddy" },
		"address": func(x *Target) { x.Address = "127.0.0.1" },
	} {
		b := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0), ready("s-3", 0), drains)
		b.send = func(*Attempt, int) Result { return b.served("ok") }
		bad, alsoBad := ready("s-1", 0), ready("s-4", 0)
		spoil(&bad)
		spoil(&alsoBad)
		list := List{Rev: 2, Full: true, Targets: []Target{bad, ready("s-2", 0), alsoBad}}
		b.loop.Post(func() { b.loop.ListReceived(b.loop.discovery, list, FromWatch) })
		open := map[decision.EndpointID]bool{}
		for _, e := range b.loop.Stats().Endpoints {
			open[e.ID] = e.Open
		}
		if id := b.loop.endpoints.id; len(open) != 3 || !open[id("s-1")] || !open[id("s-2")] || open[id("s-4")] {
			t.Errorf("%s: %v", name, open)
		}
		for i := range 20 {
			if got := b.final(b.submit(fmt.Sprint(name, i), read)); got != "ok" {
				t.Errorf("%s: %s", name, got)
			}
		}
		sent := map[decision.EndpointID]bool{}
		for _, attempts := range b.sends {
			sent[attempts[0].Endpoint.ID] = true
		}
		if id := b.loop.endpoints.id; len(sent) != 2 || !sent[id("s-1")] {
			t.Errorf("%s: sent to %v", name, sent)
		}
	}
}

// The ids of what has ended are kept for a while, and no more of them than there is room for.
func TestRecentIDsAreBounded(t *testing.T) {
	var past recentIDs
	for i := range 3 * maxRecentIDs {
		past.add(decision.RequestID(fmt.Sprint(i)), 0)
	}
	past.add("last", 2*recentIDsFor)
	if len(past.endedAt) != 1 || len(past.order) != 1 || past.has("1", 2*recentIDsFor) || !past.has("last", 2*recentIDsFor) {
		t.Errorf("%d ids are kept", len(past.endedAt))
	}
}

func TestPoolReusesAndClosesConnections(t *testing.T) {
	e, other := NewEndpoint(1, ""), NewEndpoint(2, "")
	p := newPool(&settings.Settings{ConnIdle: 2 * time.Minute}, 3)
	var conns []*memoryConn
	for range 3 {
		if c, ok := p.acquire(e, time.Now()); c != nil || !ok {
			t.Fatal(c, ok)
		}
		c := &memoryConn{}
		conns = append(conns, c)
	}
	if _, ok := p.acquire(e, time.Now()); ok {
		t.Error("more connections than the bound")
	}
	for _, c := range conns {
		p.release(e, c)
	}
	for i, c := range conns {
		c.IdleSince = time.Now().Add(time.Duration(i-2) * cautiousReuseDelay) // conns[2] has just been used
	}
	if c, _ := p.acquire(e, time.Now()); c != Conn(conns[1]) {
		t.Error("not the most recently used one that has rested")
	}
	p.release(e, conns[1])
	conns[0].IdleSince = conns[2].IdleSince
	if c, _ := p.acquire(e, time.Now()); c != Conn(conns[0]) {
		t.Error("where none has rested, not the one that has for longest")
	}
	p.release(e, conns[0])
	conns[0].IdleSince = conns[2].IdleSince
	if c, _ := p.acquire(e, time.Now().Add(2*cautiousReuseDelay)); c != Conn(conns[0]) {
		t.Error("not the most recently used one")
	}
	p.release(e, conns[0])
	if c, _ := p.acquire(e, time.Now().Add(2*cautiousReuseDelay)); c != Conn(conns[0]) {
		t.Error("not the most recently used one")
	}
	if c, ok := p.acquire(other, time.Now()); c != nil || !ok || len(p.idle[e]) != 1 || !conns[2].closed {
		t.Error("the one that has been idle the longest did not make room")
	}
	p.release(other, nil)
	p.release(e, conns[0])
	if c, _ := p.acquire(e, time.Now().Add(2*p.maxIdle)); c != nil || p.total != 1 {
		t.Error("a connection outlived its idle time")
	}
	p.release(e, nil)
	c := &memoryConn{}
	p.total++
	p.release(e, c)
	p.sweep(time.Now().Add(2 * p.maxIdle))
	if p.total != 0 || len(p.idle) != 0 || !c.closed {
		t.Error("swept connections are still there")
	}
	c = &memoryConn{}
	p.total++
	e.Close()
	p.release(e, c)
	if p.total != 0 || len(p.idle) != 0 {
		t.Error("a connection to a draining endpoint is kept")
	}
}

// Where no connection may be made and none is idle, a call is refused at once after its attempts, and told when to come
// back; it is served again once there is room.
func TestCallIsRefusedWhereNoConnectionIsLeft(t *testing.T) {
	b := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
	b.send = func(a *Attempt, n int) Result { return b.served("ok") }
	most := 0
	b.loop.Post(func() { most, b.loop.pool.max = b.loop.pool.max, 0 })
	for _, class := range []int{read, once} {
		c := b.submit(fmt.Sprint("full", class), class)
		select {
		case a := <-c.Answered:
			if !a.Retryable || a.RetryAfter <= 0 {
				t.Errorf("class %d: %+v", class, a)
			}
		case <-time.After(testTimeout / 10):
			t.Errorf("class %d: it waits", class)
		}
	}
	b.loop.Post(func() { b.loop.pool.max = most })
	if got := b.final(b.submit("after", once)); got != "ok" {
		t.Error(got)
	}
	b.waitFor("nothing is left", func(s Stats) bool { return s.Calls+s.Attempts == 0 && s.Conns == s.IdleConns })
	if n := len(b.sends["full0"]) + len(b.sends["full1"]); n > 0 {
		t.Errorf("%d attempts went out", n)
	}
}

// Stopping is for good, and a drain before it ends in it.
func TestStoppingIsFinal(t *testing.T) {
	f := newLifecycle(zap.NewNop())
	check := func(step string, ready, canServe bool) {
		t.Helper()
		if f.IsReady() != ready || f.CanServe() != canServe {
			t.Errorf("%s: ready %v, can serve %v", step, f.IsReady(), f.CanServe())
		}
	}
	check("new", false, false)
	f.Resume()
	f.Drain()
	f.Resume()
	check("drained and resumed without a list", false, false)
	_, _, changed := f.Now()
	f.listReceived()
	<-changed
	check("with a list", true, true)
	f.Drain()
	f.listReceived()
	check("draining", false, true)
	f.Resume()
	check("back", true, true)
	f.Drain()
	f.Stop(time.Now(), time.Now())
	f.Resume()
	f.Drain()
	f.Resume()
	f.listReceived()
	check("stopping", false, false)
}

func ready(uid string, bootMS int64) Target {
	return Target{UID: uid, Address: "127.0.0.1:9", Zone: "z", Model: "m", State: "Ready", Weight: 1, BootMS: bootMS}
}

// An endpoint's number is the same at every sidecar, in whatever order lists name it, and no two share one.
func TestEndpointIDsAreSameAtAllSidecars(t *testing.T) {
	a, b := newEndpointTable(nil, nil, time.Now(), zap.NewNop()), newEndpointTable(nil, nil, time.Now(), zap.NewNop())
	put := func(t *endpointTable, uid string) decision.EndpointID {
		id := t.id(uid)
		t.add(&Endpoint{ID: id, uid: uid})
		return id
	}
	if a.id("s-00000001") != 1 || a.id("s-5be2a07c") != 0x5be2a07c {
		t.Error("the uid's own number is not used")
	}
	b.id("s-5be2a07c")
	if b.id("s-00000001") != a.id("s-00000001") || a.id("box.west") != b.id("box.west") {
		t.Error("the order tells")
	}
	if x, y := put(a, "s-1"), put(a, "t-1"); x == y || x != a.id("s-1") || y != a.id("t-1") {
		t.Errorf("two uids have %d and %d", x, y)
	}
}

// Starts are put on the event clock, alike each time: a later one means a restart.
func TestStartTimesAreStable(t *testing.T) {
	now := time.Now()
	e := newEndpointTable(nil, nil, now.Add(-clockStart), zap.NewNop())
	boot := now.Add(-3 * time.Second).UnixMilli()
	if got := e.startTime(boot); got < clockStart-4*time.Second || got > clockStart-2*time.Second || got != e.startTime(boot) {
		t.Errorf("3 s ago is %v on a clock at %v", got, clockStart)
	}
	if e.startTime(0) != 0 || e.startTime(1) != 0 {
		t.Error("long past is not 0")
	}
}

func TestChangedAddressOrStartReplacesEndpoint(t *testing.T) {
	e := newEndpointTable([]string{"y", "z"}, []string{"m"}, time.Now().Add(-clockStart), zap.NewNop())
	x := ready("s-1", 0)
	entries, _ := e.update(List{Full: true, Targets: []Target{x, ready("s-2", 0)}})
	if len(entries) != 2 || entries[0].Zone != 1 || entries[0].Kind != 0 {
		t.Fatalf("entries %+v", entries)
	}
	first := e.byID[1]
	for _, change := range []func(){
		func() { x.Address = "127.0.0.1:10" },
		func() { x.BootMS = time.Now().UnixMilli() },
	} {
		change()
		old := e.byID[1]
		entries, retired := e.update(List{Targets: []Target{x}})
		if len(retired) != 1 || retired[0] != old || old.IsOpen() || !e.byID[1].IsOpen() || e.byID[1].Address != x.Address {
			t.Errorf("after a change: %+v", e.byID[1])
		}
		if x.BootMS > 0 && entries[0].Started == 0 {
			t.Error("the start is not told")
		}
	}
	if first.IsOpen() || !e.byID[2].IsOpen() {
		t.Error("a delta closed what it does not name, or left the old address open")
	}
	e.update(List{Full: true, Targets: []Target{x}})
	if e.byID[2] != nil || len(e.ids) != 1 {
		t.Error("an endpoint that left the whole list is open")
	}
	for i := range 2 * maxNames {
		y := ready("s-3", 0)
		y.Zone, y.Model = fmt.Sprint(i), fmt.Sprint(i)
		e.update(List{Targets: []Target{y}})
	}
	if len(e.zones) > maxNames || len(e.models) > maxNames {
		t.Error("names that lists bring are kept without end")
	}
	if entries, _ := e.update(List{Targets: []Target{{UID: "s-3", Address: "nowhere", State: "Ready"}}}); len(entries) != 0 {
		t.Error("an endpoint without an address is told to the Balancer")
	}
}

// A loop that has ended keeps nobody waiting, whatever is asked of it, and lets go of discovery and of idle connections.
func TestClosedLoopBlocksNobody(t *testing.T) {
	b := newTestLoop(t, func(*Attempt, int) Result { return Result{Status: decision.NotSent} }, ready("s-1", 0))
	b.loop.Close()
	<-b.loop.done
	b.loop.Close()
	for range 2 * eventQueueSize { // more than the queue holds
		b.loop.Post(func() { t.Error("it still runs") })
	}
	if s := b.loop.Stats(); s.Calls != 0 || b.loop.ReserveConn() {
		t.Errorf("%+v", s)
	}
	if _, _, err := b.loop.Evidence(context.Background(), nil); !errors.Is(err, errLoopClosed) {
		t.Errorf("evidence of an ended loop: %v", err)
	}
}
