package decision

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestAbandonedCallsAreCancelledAndNotAnswered(t *testing.T) {
	h := start(t, settings(), 2)
	id := h.request(read)
	h.b.Abandoned(h.now, id)
	if len(h.cancels) != 1 || h.cancels[0].id != id {
		t.Errorf("cancelled %v, want %s", h.cancels, id)
	}
	h.reportOutcome(h.last(), Cancelled, ms)
	if len(h.sent) != 1 || len(h.fails)+len(h.refusals) > 0 {
		t.Error("more was done for a client that had gone")
	}
}

// Clients that retry at once are not new. The time that retries have waited, where their remaining time
// shows it, is assumed for those that do not show it. Served as new requests they filled a tier with calls
// past their latency target.
func TestClientRetriesThatMissTheirTargetAreSentLast(t *testing.T) {
	h := start(t, settings(), 2)
	h.serve(200, nil)
	h.b.Request(h.now, Request{ID: "first", Class: book, Remaining: 3 * time.Second})
	h.reportOutcome(h.last(), OK, 20*ms)
	for i := range 50 {
		h.b.Request(h.now, Request{ID: RequestID(fmt.Sprint("shown", i)), Class: book, Remaining: 1300 * ms, IsRetry: true})
		h.reportOutcome(h.last(), OK, 20*ms)
	}
	for range 60 {
		h.request(read)
	}
	refused := len(h.refusals)
	h.b.Request(h.now, Request{ID: "repeat", Remaining: 1500 * ms, IsRetry: true})
	if got := h.refusals[refused:]; !slices.Equal(got, []RequestID{"repeat"}) {
		t.Errorf("refused %v on a full tier, want the repeat at once", got)
	}
}

// An instance that ends sends nothing that could hardly be answered in time, and states when its successor
// serves.
func TestDrainingInstanceRefusesRequestsThatComeTooLate(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 5 * time.Second
	h := start(t, s, 4)
	h.serve(100, nil) // 20 ms each
	h.request(pay)
	out := h.last()
	endsAt := h.now + 200*ms
	h.b.Drain(h.now, endsAt, false)
	ask := func(idle int) (sends, refusals int) {
		h.n++
		sends, refusals = len(h.sent), len(h.refusals)
		h.b.Request(h.now, Request{ID: RequestID(fmt.Sprint("r", h.n)), Class: read, Remaining: 1500 * ms, IdleConns: idle})
		return len(h.sent) - sends, len(h.refusals) - refusals
	}
	if sends, _ := ask(minIdleCallerConns); sends != 1 {
		t.Error("in good time: not sent")
	}
	if sends, refusals := ask(minIdleCallerConns - 1); sends != 0 || refusals != 1 {
		t.Errorf("with hardly a connection idle: %d sends, %d refusals", sends, refusals)
	}
	h.advance(180 * ms)
	if sends, refusals := ask(minIdleCallerConns); sends != 0 || refusals != 1 {
		t.Errorf("too late: %d sends, %d refusals", sends, refusals)
	}
	if got, want := h.retryAfters[len(h.retryAfters)-1], endsAt+seconds(successorStartSeconds)-h.now; got != want {
		t.Errorf("told to come back after %v, the successor serves after %v", got, want)
	}
	h.advance(20 * ms)
	sends := len(h.sent)
	h.reportOutcome(out, Cancelled, 200*ms)
	if len(h.sent) != sends || len(h.fails) != 1 || h.fails[0] != out.id {
		t.Errorf("what was out at the end: %d more sends, failed %v", len(h.sent)-sends, h.fails)
	}
}

// Where other instances serve on, clients may return as soon as the queue is worked off, and a lack of idle
// connections refuses nothing.
func TestDrainingInstanceAmongOthersIgnoresIdleConnections(t *testing.T) {
	s := settings()
	s.Instances, s.MaxRetryAfter = 2, 5*time.Second
	h := start(t, s, 4)
	h.serve(100, nil)
	sends := len(h.sent)
	h.b.Drain(h.now, h.now+200*ms, false)
	h.request(read)
	if len(h.sent) != sends+1 {
		t.Error("in good time: not sent")
	}
	h.advance(190 * ms)
	h.request(read)
	if len(h.refusals) != 1 || h.retryAfters[0] >= time.Second {
		t.Errorf("too late: refused %v, told to come back after %v", h.refusals, h.retryAfters)
	}
}

// Where a successor serves already, a lack of idle connections refuses nothing, and refused clients need
// not wait.
func TestDrainingInstanceWithSuccessorRefusesWithoutWait(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 5 * time.Second
	h := start(t, s, 4)
	h.serve(100, nil)
	sends := len(h.sent)
	h.b.Drain(h.now, h.now+200*ms, true)
	h.request(read)
	if len(h.sent) != sends+1 {
		t.Error("in good time: not sent")
	}
	h.advance(190 * ms)
	h.request(read)
	if len(h.refusals) != 1 || h.retryAfters[0] <= 0 || h.retryAfters[0] > 100*ms {
		t.Errorf("too late: refused %v, told to come back after %v", h.refusals, h.retryAfters)
	}
}
