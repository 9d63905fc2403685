package decision

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestAbandonedCallsAreCancelledAndNotAnswered(t *testing.T) {
	d := start(t, settings(), 2)
	id := d.request(read)
	d.b.Abandoned(d.now, id)
	if len(d.cancels) != 1 || d.cancels[0].id != id {
		t.Errorf("cancelled %v, want %s", d.cancels, id)
	}
	d.finish(d.last(), Cancelled, ms)
	if len(d.sent) != 1 || len(d.fails)+len(d.refusals) > 0 {
		t.Error("more was done for a client that had gone")
	}
}

// Clients that retry at once are not new. The time that retries have waited, where their remaining time
// shows it, is assumed for those that do not show it. Served as new requests they filled a tier with calls
// past their latency target.
func TestClientRetriesThatMissTheirTargetAreSentLast(t *testing.T) {
	d := start(t, settings(), 2)
	d.serve(200, nil)
	d.b.Request(d.now, Request{ID: "first", Class: book, Remaining: 3 * time.Second})
	d.finish(d.last(), OK, 20*ms)
	for i := range 50 {
		d.b.Request(d.now, Request{ID: RequestID(fmt.Sprint("shown", i)), Class: book, Remaining: 1300 * ms, IsRetry: true})
		d.finish(d.last(), OK, 20*ms)
	}
	for range 60 {
		d.request(read)
	}
	refused := len(d.refusals)
	d.b.Request(d.now, Request{ID: "repeat", Remaining: 1500 * ms, IsRetry: true})
	if got := d.refusals[refused:]; !slices.Equal(got, []RequestID{"repeat"}) {
		t.Errorf("refused %v on a full tier, want the repeat at once", got)
	}
}

// An instance that ends sends nothing that could hardly be answered in time, and states when its successor
// serves.
func TestDrainingInstanceRefusesRequestsThatComeTooLate(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 5 * time.Second
	d := start(t, s, 4)
	d.serve(100, nil) // 20 ms each
	d.request(pay)
	out := d.last()
	endsAt := d.now + 200*ms
	d.b.Drain(d.now, endsAt, false)
	ask := func(idle int) (sends, refusals int) {
		d.n++
		sends, refusals = len(d.sent), len(d.refusals)
		d.b.Request(d.now, Request{ID: RequestID(fmt.Sprint("r", d.n)), Class: read, Remaining: 1500 * ms, IdleConns: idle})
		return len(d.sent) - sends, len(d.refusals) - refusals
	}
	if sends, _ := ask(minIdleCallerConns); sends != 1 {
		t.Error("in good time: not sent")
	}
	if sends, refusals := ask(minIdleCallerConns - 1); sends != 0 || refusals != 1 {
		t.Errorf("with hardly a connection idle: %d sends, %d refusals", sends, refusals)
	}
	d.advance(180 * ms)
	if sends, refusals := ask(minIdleCallerConns); sends != 0 || refusals != 1 {
		t.Errorf("too late: %d sends, %d refusals", sends, refusals)
	}
	if got, want := d.retryAfters[len(d.retryAfters)-1], endsAt+seconds(successorStartSeconds)-d.now; got != want {
		t.Errorf("told to come back after %v, the successor serves after %v", got, want)
	}
	d.advance(20 * ms)
	sends := len(d.sent)
	d.finish(out, Cancelled, 200*ms)
	if len(d.sent) != sends || len(d.fails) != 1 || d.fails[0] != out.id {
		t.Errorf("what was out at the end: %d more sends, failed %v", len(d.sent)-sends, d.fails)
	}
}

// Where other instances serve on, clients may return as soon as the queue is worked off, and a lack of idle
// connections refuses nothing.
func TestDrainingInstanceAmongOthersIgnoresIdleConnections(t *testing.T) {
	s := settings()
	s.Instances, s.MaxRetryAfter = 2, 5*time.Second
	d := start(t, s, 4)
	d.serve(100, nil)
	sends := len(d.sent)
	d.b.Drain(d.now, d.now+200*ms, false)
	d.request(read)
	if len(d.sent) != sends+1 {
		t.Error("in good time: not sent")
	}
	d.advance(190 * ms)
	d.request(read)
	if len(d.refusals) != 1 || d.retryAfters[0] >= time.Second {
		t.Errorf("too late: refused %v, told to come back after %v", d.refusals, d.retryAfters)
	}
}

// Where a successor serves already, a lack of idle connections refuses nothing, and refused clients need
// not wait.
func TestDrainingInstanceWithSuccessorRefusesWithoutWait(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 5 * time.Second
	d := start(t, s, 4)
	d.serve(100, nil)
	sends := len(d.sent)
	d.b.Drain(d.now, d.now+200*ms, true)
	d.request(read)
	if len(d.sent) != sends+1 {
		t.Error("in good time: not sent")
	}
	d.advance(190 * ms)
	d.request(read)
	if len(d.refusals) != 1 || d.retryAfters[0] <= 0 || d.retryAfters[0] > 100*ms {
		t.Errorf("too late: refused %v, told to come back after %v", d.refusals, d.retryAfters)
	}
}
