package http1

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// requestLedger records the answers that clients received and the requests that endpoints received,
// each with its time. The clients and endpoints of a test write it, independently of the server
// between them.
type requestLedger struct {
	mu sync.Mutex
	// The requests that clients sent, by id.
	asked map[string]expectation
	// The answers that clients received, by request id.
	answers map[string][]received
	// The requests that endpoints received completely, by request id.
	attempts map[string][]*attempted
	// When each endpoint was reported as draining or gone.
	drained map[string]time.Time
	// The number of connections that endpoints have accepted.
	conns int
	// The number of requests that endpoints received completely.
	completed int
	// The number of answers with status 503.
	rejections int
}

// expectation is a request of a client, which must be answered by a certain time.
type expectation struct {
	class string
	until time.Time
}

// received is an answer that a client received.
type received struct {
	status     int
	at         time.Time
	retryAfter string
}

// attempted is a request that an endpoint received.
type attempted struct {
	server string
	at     time.Time
	// The request was executed, or may have been.
	executed bool
	// Reports whether the attempt has ended.
	ended func() bool
}

func newRequestLedger() *requestLedger {
	return &requestLedger{
		asked: map[string]expectation{}, answers: map[string][]received{}, attempts: map[string][]*attempted{},
		drained: map[string]time.Time{},
	}
}

// expect records a request that a client is about to send.
func (l *requestLedger) expect(id, class string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[id] = expectation{class, until}
}

// answer records an answer that a client received.
func (l *requestLedger) answer(id string, g received) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[id] = append(l.answers[id], g)
	if g.status == http.StatusServiceUnavailable {
		l.rejections++
	}
}

// attempt records a request that an endpoint received, and returns the rules that it breaks.
func (l *requestLedger) attempt(id string, a *attempted) (faults []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed++
	for _, x := range l.attempts[id] {
		if !x.ended() {
			faults = append(faults, id+": attempt received while another is in flight")
		}
	}
	l.attempts[id] = append(l.attempts[id], a)
	return faults
}

// violations returns the rules that were broken. It is called once all requests have ended.
func (l *requestLedger) violations(grace time.Duration, mostAttempts int) (faults []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := func(id, text string, args ...any) { faults = append(faults, id+": "+fmt.Sprintf(text, args...)) }
	for id, expected := range l.asked {
		switch all := l.answers[id]; {
		case len(all) != 1:
			report(id, "%d final answers", len(all))
		case all[0].at.After(expected.until.Add(recordingDelay)):
			report(id, "answered %v after its deadline", all[0].at.Sub(expected.until))
		case all[0].status == http.StatusServiceUnavailable:
			if after, err := strconv.ParseFloat(all[0].retryAfter, 64); err != nil || after <= 0 {
				report(id, "rejected with Retry-After %q", all[0].retryAfter)
			}
		}
	}
	for id, all := range l.attempts {
		expected, ok := l.asked[id]
		if !ok {
			report(id, "no client has sent this request")
		}
		executed := 0
		for _, a := range all {
			if a.executed {
				executed++
			}
			if drainedAt, ok := l.drained[a.server]; ok && a.at.After(drainedAt.Add(grace+recordingDelay)) {
				report(id, "sent to %s %v after discovery reported its drain", a.server, a.at.Sub(drainedAt))
			}
		}
		if expected.class == "once" && executed > 1 {
			report(id, "not idempotent, and may have been executed %d times", executed)
		}
		if len(all) > mostAttempts {
			report(id, "%d attempts", len(all))
		}
	}
	return faults
}

// The ledger reports each rule that is broken, and nothing if none is.
func TestLedgerDetectsEachBrokenRule(t *testing.T) {
	now := time.Now()
	ended, running := func() bool { return true }, func() bool { return false }
	for want, record := range map[string]func(l *requestLedger) []string{
		"": func(l *requestLedger) []string {
			l.attempt("x", &attempted{"a", now, true, ended})
			l.answer("x", received{200, now, ""})
			return nil
		},
		"0 final answers": func(_ *requestLedger) []string { return nil },
		"2 final answers": func(l *requestLedger) []string {
			l.answer("x", received{200, now, ""})
			l.answer("x", received{200, now, ""})
			return nil
		},
		"after its deadline": func(l *requestLedger) []string {
			l.answer("x", received{200, now.Add(2 * time.Second), ""})
			return nil
		},
		"Retry-After":       func(l *requestLedger) []string { l.answer("x", received{503, now, ""}); return nil },
		"Retry-After \"0\"": func(l *requestLedger) []string { l.answer("x", received{503, now, "0"}); return nil },
		"while another is in flight": func(l *requestLedger) []string {
			l.answer("x", received{200, now, ""})
			l.attempt("x", &attempted{"a", now, false, running})
			return l.attempt("x", &attempted{"b", now, false, ended})
		},
		"executed 2 times": func(l *requestLedger) []string {
			l.answer("x", received{502, now, ""})
			l.attempt("x", &attempted{"a", now, true, ended})
			l.attempt("x", &attempted{"b", now, true, ended})
			return nil
		},
		"after discovery reported its drain": func(l *requestLedger) []string {
			l.drained["a"] = now.Add(-time.Second)
			l.answer("x", received{200, now, ""})
			l.attempt("x", &attempted{"a", now, true, ended})
			return nil
		},
		"6 attempts": func(l *requestLedger) []string {
			l.answer("x", received{503, now, "1"})
			for range 6 {
				l.attempt("x", &attempted{"a", now, false, ended})
			}
			return nil
		},
		"no client has sent": func(l *requestLedger) []string {
			l.answer("x", received{200, now, ""})
			l.attempt("y", &attempted{"a", now, true, ended})
			return nil
		},
	} {
		l := newRequestLedger()
		l.expect("x", "once", now.Add(time.Second))
		faults := strings.Join(append(record(l), l.violations(250*time.Millisecond, 5)...), "; ")
		if want == "" && faults != "" || !strings.Contains(faults, want) {
			t.Errorf("got violations %q, want %q", faults, want)
		}
	}
}

// accepted returns the number of connections that endpoints have accepted.
func (l *requestLedger) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns
}

// requestsAt returns the number of complete requests that an endpoint received.
func (l *requestLedger) requestsAt(server string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, all := range l.attempts {
		for _, a := range all {
			if a.server == server {
				n++
			}
		}
	}
	return n
}

// requests returns the number of complete requests that all endpoints received.
func (l *requestLedger) requests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completed
}
