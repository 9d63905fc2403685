package core

import (
	"fmt"
	"testing"
	"time"

	"dykering/internal/settings"
)

// The pool reuses rested connections, most recently used first, and closes old and broken ones.
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

// Where no connection may be made and none is idle, a call is refused after its attempts with a time to
// return; calls are served again once there is capacity.
func TestCallIsRefusedWhereNoConnectionIsLeft(t *testing.T) {
	b := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
	b.send = func(_ *Attempt, _ int) Result { return b.served("ok") }
	most := 0
	b.loop.Post(func() { most, b.loop.pool.maxTotal = b.loop.pool.maxTotal, 0 })
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
	b.loop.Post(func() { b.loop.pool.maxTotal = most })
	if got := b.finalAnswer(b.submit("after", once)); got != "ok" {
		t.Error(got)
	}
	b.waitFor("nothing is left", func(s Stats) bool { return s.Calls+s.Attempts == 0 && s.Conns == s.IdleConns })
	if n := len(b.sends["full0"]) + len(b.sends["full1"]); n > 0 {
		t.Errorf("%d attempts went out", n)
	}
}
