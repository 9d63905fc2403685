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
		t.Error("the request of an abandoned client was sent again or answered")
	}
}

// Some retries show by their remaining time how long the client has waited. Retries that do not show it are
// assumed to have waited as long. Treated as new requests, they filled a tier with calls past their latency
// target.
func TestClientRetriesThatMissTheirTargetAreSentLast(t *testing.T) {
	h := start(t, settings(), 2)
	h.serve(200, nil)
	h.b.Request(h.now, Request{ID: "first", Class: book, Remaining: 3 * time.Second})
	h.reportOutcome(h.last(), OK, 20*ms)
	for i := range 50 {
		id := RequestID(fmt.Sprint("shown", i))
		h.b.Request(h.now, Request{ID: id, Class: book, Remaining: 1300 * ms, IsRetry: true})
		h.reportOutcome(h.last(), OK, 20*ms)
	}
	for range 60 {
		h.request(read)
	}
	refusals := len(h.refusals)
	h.b.Request(h.now, Request{ID: "retry", Remaining: 1500 * ms, IsRetry: true})
	if got := h.refusals[refusals:]; !slices.Equal(got, []RequestID{"retry"}) {
		t.Errorf("refused %v on a full tier, want the retry at once", got)
	}
}

// A draining instance sends no call that would probably not be answered in time. It tells refused clients
// when its successor serves.
func TestDrainingInstanceRefusesRequestsThatComeTooLate(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 5 * time.Second
	h := start(t, s, 4)
	h.serve(100, nil) // 20 ms each
	h.request(pay)
	inFlight := h.last()
	endsAt := h.now + 200*ms
	h.b.Drain(h.now, endsAt, false)
	request := func(idleConns int) (sends, refusals int) {
		h.n++
		sends, refusals = len(h.sent), len(h.refusals)
		id := RequestID(fmt.Sprint("r", h.n))
		h.b.Request(h.now, Request{ID: id, Class: read, Remaining: 1500 * ms, IdleConns: idleConns})
		return len(h.sent) - sends, len(h.refusals) - refusals
	}
	if sends, _ := request(minIdleCallerConns); sends != 1 {
		t.Error("with enough time left: the request is not sent")
	}
	if sends, refusals := request(minIdleCallerConns - 1); sends != 0 || refusals != 1 {
		t.Errorf("with too few idle connections: %d sends, %d refusals", sends, refusals)
	}
	h.advance(180 * ms)
	if sends, refusals := request(minIdleCallerConns); sends != 0 || refusals != 1 {
		t.Errorf("with too little time left: %d sends, %d refusals", sends, refusals)
	}
	successorAfter := endsAt + seconds(successorStartSeconds) - h.now
	if got := h.retryAfters[len(h.retryAfters)-1]; got != successorAfter {
		t.Errorf("the client is told to retry after %v, but the successor serves after %v", got, successorAfter)
	}
	h.advance(20 * ms)
	sends := len(h.sent)
	h.reportOutcome(inFlight, Cancelled, 200*ms)
	if len(h.sent) != sends || len(h.fails) != 1 || h.fails[0] != inFlight.id {
		t.Errorf("call in flight at the end: %d more sends, failed %v", len(h.sent)-sends, h.fails)
	}
}

// If other instances keep serving, clients may retry as soon as the queue is served, and a lack of idle
// connections refuses no request.
func TestDrainingInstanceAmongOthersIgnoresIdleConnections(t *testing.T) {
	s := settings()
	s.Instances, s.MaxRetryAfter = 2, 5*time.Second
	h := start(t, s, 4)
	h.serve(100, nil)
	sends := len(h.sent)
	h.b.Drain(h.now, h.now+200*ms, false)
	h.request(read)
	if len(h.sent) != sends+1 {
		t.Error("with enough time left: the request is not sent")
	}
	h.advance(190 * ms)
	h.request(read)
	if len(h.refusals) != 1 || h.retryAfters[0] >= time.Second {
		t.Errorf("with too little time left: refused %v, told to retry after %v", h.refusals, h.retryAfters)
	}
}

// If a successor already serves, a lack of idle connections refuses no request, and refused clients need not
// wait.
func TestDrainingInstanceWithSuccessorRefusesWithoutWait(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 5 * time.Second
	h := start(t, s, 4)
	h.serve(100, nil)
	sends := len(h.sent)
	h.b.Drain(h.now, h.now+200*ms, true)
	h.request(read)
	if len(h.sent) != sends+1 {
		t.Error("with enough time left: the request is not sent")
	}
	h.advance(190 * ms)
	h.request(read)
	if len(h.refusals) != 1 || h.retryAfters[0] <= 0 || h.retryAfters[0] > 100*ms {
		t.Errorf("with too little time left: refused %v, told to retry after %v", h.refusals, h.retryAfters)
	}
}
