package discovery

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
)

// testTimeout bounds each wait of a test, so that a failure does not hang.
const testTimeout = 20 * time.Second

// sink is a core.Sink that runs posted functions in one goroutine and records the reports as texts.
type sink struct {
	events  chan func()
	reports chan string
}

// newSink starts a sink that runs until the test ends.
func newSink(t *testing.T) *sink {
	t.Helper()
	s := &sink{events: make(chan func(), 16), reports: make(chan string, 16)}
	done := make(chan bool)
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case event := <-s.events:
				event()
			case <-done:
				return
			}
		}
	}()
	return s
}

func (s *sink) Post(event func()) { s.events <- event }
func (s *sink) ListReceived(_ core.Discovery, l core.List, source core.Source) {
	s.reports <- fmt.Sprint("list ", l.Rev, " by ", source)
}
func (s *sink) ListFailed(_ core.Discovery, _ error) { s.reports <- "failed" }

// startWatcher creates a client of a discovery service whose handler the test implements.
func startWatcher(t *testing.T, pull bool, serve http.HandlerFunc) (*sink, *watcher) {
	t.Helper()
	server := httptest.NewServer(serve)
	s := newSink(t)
	w := New(server.Listener.Addr().String(), s, Options{ConnectTimeout: testTimeout, Pull: pull, Log: zap.NewNop()}).(*watcher)
	t.Cleanup(func() {
		s.Post(w.Stop)
		server.CloseClientConnections()
		server.Close()
	})
	return s, w
}

// listLine returns a list between empty lines, as a watch sends it. Lists with an even version are full.
func listLine(rev uint64) string {
	text, _ := json.Marshal(core.List{Rev: rev, Full: rev%2 == 0})
	return "\n" + string(text) + "\n\n"
}

// watch starts a watch after a version in the sink's goroutine.
func watch(s *sink, w *watcher, since uint64) { s.Post(func() { w.Watch(&since) }) }

// next receives from a channel, or fails the test after testTimeout.
func next[T any](t *testing.T, c <-chan T) (x T) {
	t.Helper()
	select {
	case x = <-c:
	case <-time.After(testTimeout):
		t.Fatalf("received nothing within %v", testTimeout)
	}
	return x
}

// In push mode, a watch that ends is restarted after the last version that it received. After a malformed list, it is
// restarted with the full list.
func TestWatchReconnectsWhereItEnded(t *testing.T) {
	requests, replies := make(chan string, 8), make(chan string, 8)
	s, w := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.RawQuery
		select {
		case reply := <-replies:
			fmt.Fprint(w, reply)
		case <-r.Context().Done():
		}
	})
	watch(s, w, 41)
	for _, step := range []struct{ query, reply string }{
		{"follow=1&since=41", listLine(43)},
		{"follow=1&since=43", listLine(44) + listLine(45)},
		{"follow=1&since=45", "{broken\n"},
		{"follow=1", ""},
	} {
		if got := next(t, requests); got != step.query {
			t.Errorf("requested %q, want %q", got, step.query)
		}
		replies <- step.reply
	}
	for _, rev := range []int{43, 44, 45} {
		if got := next(t, s.reports); got != fmt.Sprint("list ", rev, " by ", core.FromWatch) {
			t.Errorf("reported %q, want list %d by the watch", got, rev)
		}
	}
}

// In push mode, a change is reported within 6 s even if one watch gets no answer, the longest backoff follows, and the next
// watch gets no answer either.
func TestChangeIsKnownWithinSixSeconds(t *testing.T) {
	const maxDelay = 6 * time.Second
	for failures := range 100 {
		shortest, longest := backoff(failures, 0), backoff(failures, 1)
		if shortest <= 0 || shortest > longest {
			t.Fatalf("after %d failures: backoff from %v to %v", failures, shortest, longest)
		}
		if delay := 2*answerTimeout + longest; delay >= maxDelay {
			t.Fatalf("after %d failures a change may be reported after %v, want less than %v", failures, delay, maxDelay)
		}
	}
}

// A watch that becomes silent but stays open is replaced early enough that changes in the meantime are reported within
// 6 s.
func TestSilentWatchIsReplaced(t *testing.T) {
	const maxDelay = 6 * time.Second
	requests := make(chan time.Time, 8)
	s, w := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
		requests <- time.Now()
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	watch(s, w, 1)
	began := next(t, requests)
	if took := next(t, requests).Sub(began); took > maxDelay-500*time.Millisecond {
		t.Errorf("a silent watch was replaced after %v", took)
	}
}

// The JSON of a list may contain line breaks, and may arrive in pieces of any size.
func TestListsMaySpanLinesAndPieces(t *testing.T) {
	text := ""
	for rev := range uint64(3) {
		whole, err := json.MarshalIndent(core.List{Rev: rev, Targets: []core.Target{{UID: "a\n"}, {UID: "b"}}}, "", "\t")
		if err != nil {
			t.Fatal(err)
		}
		text += "\n" + string(whole) + "\r\n\n"
	}
	text += `{"rev":3,"targets":[]}{"rev":4,"targets":[]}`
	for _, piece := range []int{1, 7, len(text)} {
		s, w := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
			for rest := text; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
				fmt.Fprint(w, rest[:min(piece, len(rest))])
				http.NewResponseController(w).Flush()
			}
			<-r.Context().Done()
		})
		watch(s, w, 0)
		for rev := range 5 {
			if got := next(t, s.reports); got != fmt.Sprint("list ", rev, " by ", core.FromWatch) {
				t.Errorf("pieces of %d bytes: reported %q", piece, got)
			}
		}
	}
}

// A watch that keeps sending whitespace within a list is replaced. If an incomplete list counted as a keep-alive, later
// changes would never be noticed.
func TestPartOfListIsNoKeepAlive(t *testing.T) {
	t.Parallel()
	const maxDelay = 6 * time.Second
	for name, incomplete := range map[string]string{
		"one line":           `{"rev":8,"targets":[`,
		"several lines":      "{\n\t\"rev\": 8,\n",
		"after another list": "{\"rev\":8,\"targets\":[]}\n{\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requests := make(chan time.Time, 8)
			s, w := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
				requests <- time.Now()
				fmt.Fprint(w, incomplete)
				for r.Context().Err() == nil {
					http.NewResponseController(w).Flush()
					time.Sleep(50 * time.Millisecond)
					fmt.Fprint(w, "\n")
				}
			})
			watch(s, w, 1)
			began := next(t, requests)
			if took := next(t, requests).Sub(began); took > maxDelay-2*time.Second {
				t.Errorf("a watch with an incomplete list was replaced after %v", took)
			}
		})
	}
}

// A malformed list loses no change: the watch is restarted with the full list. A fetch that returns one is reported as failed.
func TestMalformedListCausesFullList(t *testing.T) {
	for _, text := range []string{`{"rev":9,"all":true}`, `{"rev":9,"all":true,"targets":[{}]}`, `null`, `{"rev":"9"}`, `[]`, `7`, `{"rev":-1}`} {
		requests := make(chan string, 8)
		s, w := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
			requests <- r.URL.RawQuery
			fmt.Fprintln(w, text)
			http.NewResponseController(w).Flush()
			if r.URL.Query().Has("since") {
				<-r.Context().Done()
			}
		})
		watch(s, w, 4)
		next(t, requests)
		if got := next(t, requests); got != "follow=1" {
			t.Errorf("%s: the next request is %q, want a watch from the full list", text, got)
		}
		s.Post(w.Stop)
		s.Post(w.Fetch)
		for next(t, requests) != "" { // skip watches until the fetch, which has no query
			continue
		}
		if got := next(t, s.reports); got != "failed" {
			t.Errorf("%s: reported %q, want failed", text, got)
		}
	}
}

// In pull mode, a watch that becomes silent, breaks off within a list or gets no answer is reported as failed. It is
// restarted only when the sink calls Watch.
func TestBrokenWatchIsReportedWhereListsArePulled(t *testing.T) {
	step := 0
	s, w := startWatcher(t, true, func(w http.ResponseWriter, r *http.Request) {
		switch step++; step {
		case 1: // becomes silent after its first list
			fmt.Fprint(w, listLine(8))
			http.NewResponseController(w).Flush()
		case 2: // breaks off within a list
			list := listLine(9)
			fmt.Fprint(w, list[:len(list)/2])
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		<-r.Context().Done() // silent, or without an answer
	})
	for i, want := range []string{fmt.Sprint("list 8 by ", core.FromWatch), "failed", "failed", "failed"} {
		if i != 1 {
			watch(s, w, 7)
		}
		if got := next(t, s.reports); got != want {
			t.Errorf("reported %q, want %q", got, want)
		}
	}
}

// Each watch and each fetch sends one request. A redirect or an error status is reported as a failure and causes no further
// request.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect, http.StatusServiceUnavailable} {
		var requests atomic.Int64
		s, w := startWatcher(t, true, func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			w.Header().Set("Location", "/v1/endpoints?elsewhere=1")
			w.WriteHeader(status)
		})
		s.Post(w.Fetch)
		if got := next(t, s.reports); got != "failed" || requests.Load() != 1 {
			t.Errorf("status %d: the fetch reported %q after %d requests", status, got, requests.Load())
		}
		watch(s, w, 1)
		if got := next(t, s.reports); got != "failed" || requests.Load() != 2 {
			t.Errorf("status %d: the watch reported %q after %d requests in total", status, got, requests.Load())
		}
	}
}

// A fetch reports the full list. A failed fetch is reported only if no watch is running, and does not end a running watch.
func TestFetchReportsFullListOrFailure(t *testing.T) {
	watches, replies := make(chan bool, 8), make(chan string, 8)
	s, w := startWatcher(t, true, func(w http.ResponseWriter, r *http.Request) {
		if !r.URL.Query().Has("follow") {
			if reply := <-replies; reply != "" {
				fmt.Fprint(w, reply)
				return
			}
			panic(http.ErrAbortHandler)
		}
		watches <- true
		for r.Context().Err() == nil {
			fmt.Fprintln(w)
			http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	})
	watch(s, w, 1)
	next(t, watches)
	for _, reply := range []string{"", listLine(3), "{", listLine(4)} {
		replies <- reply
		s.Post(w.Fetch)
		for idle := make(chan bool); ; time.Sleep(time.Millisecond) {
			s.Post(func() { idle <- !w.fetching })
			if <-idle {
				break
			}
		}
	}
	if got := next(t, s.reports); got != fmt.Sprint("list 4 by ", core.FromFetch) || len(s.reports) > 0 || len(watches) > 0 {
		t.Errorf("reported %q and %d more reports; %d more watches", got, len(s.reports), len(watches))
	}
	s.Post(w.Stop)
	replies <- ""
	s.Post(w.Fetch)
	if got := next(t, s.reports); got != "failed" {
		t.Errorf("reported %q, want failed", got)
	}
}
