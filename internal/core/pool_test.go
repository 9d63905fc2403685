package core

import (
	"fmt"
	"testing"
	"time"

	"dykering/internal/settings"
)

// The pool prefers the most recently used connection among those that have been idle for cautiousReuseDelay. It closes idle
// connections that have expired, whose endpoint is draining, or whose place another endpoint needs.
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
		t.Error("the pool exceeds its connection limit")
	}
	for _, c := range conns {
		p.release(e, c)
	}
	for i, c := range conns {
		c.IdleSince = time.Now().Add(time.Duration(i-2) * cautiousReuseDelay) // conns[2] has just been used
	}
	if c, _ := p.acquire(e, time.Now()); c != Conn(conns[1]) {
		t.Error("acquire did not return the most recently used connection that has been idle for cautiousReuseDelay")
	}
	p.release(e, conns[1])
	conns[0].IdleSince = conns[2].IdleSince
	if c, _ := p.acquire(e, time.Now()); c != Conn(conns[0]) {
		t.Error("acquire did not return the connection that has been idle longest, though all are below cautiousReuseDelay")
	}
	p.release(e, conns[0])
	conns[0].IdleSince = conns[2].IdleSince
	if c, _ := p.acquire(e, time.Now().Add(2*cautiousReuseDelay)); c != Conn(conns[0]) {
		t.Error("acquire did not return the most recently used connection")
	}
	p.release(e, conns[0])
	if c, _ := p.acquire(e, time.Now().Add(2*cautiousReuseDelay)); c != Conn(conns[0]) {
		t.Error("acquire did not return the most recently used connection")
	}
	if c, ok := p.acquire(other, time.Now()); c != nil || !ok || len(p.idle[e]) != 1 || !conns[2].closed {
		t.Error("the connection that has been idle longest was not closed to make room")
	}
	p.release(other, nil)
	p.release(e, conns[0])
	if c, _ := p.acquire(e, time.Now().Add(2*p.maxIdle)); c != nil || p.total != 1 {
		t.Error("an expired connection was not closed")
	}
	p.release(e, nil)
	c := &memoryConn{}
	p.total++
	p.release(e, c)
	p.sweep(time.Now().Add(2 * p.maxIdle))
	if p.total != 0 || len(p.idle) != 0 || !c.closed {
		t.Error("sweep did not close an expired connection")
	}
	c = &memoryConn{}
	p.total++
	e.Close()
	p.release(e, c)
	if p.total != 0 || len(p.idle) != 0 {
		t.Error("a connection to a closed endpoint was kept")
	}
}

// A call that gets no connection, because the limit is reached and none is idle, is refused with a retry-after time. Calls
// are served again once connections are available.
func TestCallIsRefusedWhereNoConnectionIsLeft(t *testing.T) {
	tl := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
	tl.send = func(_ *Attempt, _ int) Result { return tl.served("ok") }
	maxTotal := 0
	tl.loop.Post(func() { maxTotal, tl.loop.pool.maxTotal = tl.loop.pool.maxTotal, 0 })
	for _, class := range []int{read, once} {
		c := tl.submit(fmt.Sprint("full", class), class)
		select {
		case a := <-c.Answered:
			if !a.Retryable || a.RetryAfter <= 0 {
				t.Errorf("class %d: answer %+v, want a refusal with a retry-after time", class, a)
			}
		case <-time.After(testTimeout / 10):
			t.Errorf("class %d: the call was not answered in time", class)
		}
	}
	tl.loop.Post(func() { tl.loop.pool.maxTotal = maxTotal })
	if got := tl.finalAnswer(tl.submit("after", once)); got != "ok" {
		t.Errorf("answer %q, want %q", got, "ok")
	}
	tl.waitFor("all calls to be removed", func(s Stats) bool { return s.Calls+s.Attempts == 0 && s.Conns == s.IdleConns })
	if n := len(tl.sends["full0"]) + len(tl.sends["full1"]); n > 0 {
		t.Errorf("%d attempts were sent without a connection", n)
	}
}
