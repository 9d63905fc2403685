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

// requestLedger records what clients received and when, and what endpoints received and when. It is
// written at both ends of the server, and knows nothing of what is between.
type requestLedger struct {
	mu       sync.Mutex
	asked    map[string]expectation
	answers  map[string][]received
	attempts map[string][]*attempted
	// When each endpoint was reported as draining or gone.
	drained map[string]time.Time
	// Connections that endpoints have accepted.
	conns int
	// Requests that endpoints received completely.
	completed  int
	rejections int
}

type expectation struct {
	class string
	until time.Time
}

type received struct {
	status     int
	at         time.Time
	retryAfter string
}

type attempted struct {
	server string
	at     time.Time
	// Whether it was executed, or may have been.
	ran  bool
	over func() bool
}

func newRequestLedger() *requestLedger {
	return &requestLedger{
		asked: map[string]expectation{}, answers: map[string][]received{}, attempts: map[string][]*attempted{},
		drained: map[string]time.Time{},
	}
}

func (l *requestLedger) ask(id, class string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[id] = expectation{class, until}
}

func (l *requestLedger) answer(id string, g received) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[id] = append(l.answers[id], g)
	if g.status == http.StatusServiceUnavailable {
		l.rejections++
	}
}

func (l *requestLedger) attempt(id string, a *attempted) (faults []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed++
	for _, x := range l.attempts[id] {
		if !x.over() {
			faults = append(faults, id+": an attempt comes while another is out")
		}
	}
	l.attempts[id] = append(l.attempts[id], a)
	return faults
}

// broken names the rules that were broken, once all has settled.
func (l *requestLedger) broken(grace time.Duration, mostAttempts int) (faults []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := func(id, text string, args ...any) { faults = append(faults, id+": "+fmt.Sprintf(text, args...)) }
	for id, w := range l.asked {
		switch all := l.answers[id]; {
		case len(all) != 1:
			fault(id, "%d final answers", len(all))
		case all[0].at.After(w.until.Add(late)):
			fault(id, "answered %v after its time", all[0].at.Sub(w.until))
		case all[0].status == http.StatusServiceUnavailable:
			if after, err := strconv.ParseFloat(all[0].retryAfter, 64); err != nil || after <= 0 {
				fault(id, "refused with Retry-After %q", all[0].retryAfter)
			}
		}
	}
	for id, all := range l.attempts {
		w, ok := l.asked[id]
		if !ok {
			fault(id, "nobody has asked for it")
		}
		ran := 0
		for _, a := range all {
			if a.ran {
				ran++
			}
			if told, ok := l.drained[a.server]; ok && a.at.After(told.Add(grace+late)) {
				fault(id, "sent to %s %v after it was told to drain", a.server, a.at.Sub(told))
			}
		}
		if w.class == "once" && ran > 1 {
			fault(id, "must not run twice, and may have run %d times", ran)
		}
		if len(all) > mostAttempts {
			fault(id, "%d attempts", len(all))
		}
	}
	return faults
}

// Each rule that the ledger checks is reported when it is broken.
func TestLedgerDetectsEachBrokenRule(t *testing.T) {
	now := time.Now()
	yes, no := func() bool { return true }, func() bool { return false }
	for want, play := range map[string]func(l *requestLedger) []string{
		"": func(l *requestLedger) []string {
			l.attempt("x", &attempted{"a", now, true, yes})
			l.answer("x", received{200, now, ""})
			return nil
		},
		"0 final answers": func(_ *requestLedger) []string { return nil },
		"2 final answers": func(l *requestLedger) []string {
			l.answer("x", received{200, now, ""})
			l.answer("x", received{200, now, ""})
			return nil
		},
		"after its time": func(l *requestLedger) []string {
			l.answer("x", received{200, now.Add(2 * time.Second), ""})
			return nil
		},
		"Retry-After":       func(l *requestLedger) []string { l.answer("x", received{503, now, ""}); return nil },
		"Retry-After \"0\"": func(l *requestLedger) []string { l.answer("x", received{503, now, "0"}); return nil },
		"another is out": func(l *requestLedger) []string {
			l.answer("x", received{200, now, ""})
			l.attempt("x", &attempted{"a", now, false, no})
			return l.attempt("x", &attempted{"b", now, false, yes})
		},
		"2 times": func(l *requestLedger) []string {
			l.answer("x", received{502, now, ""})
			l.attempt("x", &attempted{"a", now, true, yes})
			l.attempt("x", &attempted{"b", now, true, yes})
			return nil
		},
		"told to drain": func(l *requestLedger) []string {
			l.drained["a"] = now.Add(-time.Second)
			l.answer("x", received{200, now, ""})
			l.attempt("x", &attempted{"a", now, true, yes})
			return nil
		},
		"6 attempts": func(l *requestLedger) []string {
			l.answer("x", received{503, now, "1"})
			for range 6 {
				l.attempt("x", &attempted{"a", now, false, yes})
			}
			return nil
		},
		"nobody has asked": func(l *requestLedger) []string {
			l.answer("x", received{200, now, ""})
			l.attempt("y", &attempted{"a", now, true, yes})
			return nil
		},
	} {
		l := newRequestLedger()
		l.ask("x", "once", now.Add(time.Second))
		faults := strings.Join(append(play(l), l.broken(250*time.Millisecond, 5)...), "; ")
		if want == "" && faults != "" || !strings.Contains(faults, want) {
			t.Errorf("want %q, found %q", want, faults)
		}
	}
}

func (l *requestLedger) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns
}

// requestsAt is how many complete requests an endpoint received.
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

// came is how many requests have come to servers whole.
func (l *requestLedger) requests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completed
}
