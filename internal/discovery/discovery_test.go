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

const testTimeout = 20 * time.Second

// sink runs what is posted in one goroutine, and records what is reported.
type sink struct {
	events  chan func()
	reports chan string
}

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
func (s *sink) ListReceived(_ core.Discovery, l core.List, how core.Source) {
	s.reports <- fmt.Sprint("list ", l.Rev, " by ", how)
}
func (s *sink) ListFailed(_ core.Discovery, _ error) { s.reports <- "failed" }

// startWatcher makes the watcher of a discovery that the test serves.
func startWatcher(t *testing.T, mustAsk bool, serve http.HandlerFunc) (*sink, *watcher) {
	t.Helper()
	place := httptest.NewServer(serve)
	s := newSink(t)
	w := New(place.Listener.Addr().String(), s, Options{ConnectTimeout: testTimeout, Pull: mustAsk, Log: zap.NewNop()}).(*watcher)
	t.Cleanup(func() {
		s.Post(w.Stop)
		place.CloseClientConnections()
		place.Close()
	})
	return s, w
}

func listLine(rev uint64) string {
	text, _ := json.Marshal(core.List{Rev: rev, Full: rev%2 == 0})
	return "\n" + string(text) + "\n\n"
}

func watch(s *sink, w *watcher, since uint64) { s.Post(func() { w.Watch(&since) }) }

func next[T any](t *testing.T, c <-chan T) (x T) {
	t.Helper()
	select {
	case x = <-c:
	case <-time.After(testTimeout):
		t.Fatal("nothing comes")
	}
	return x
}

// A watch that ends is begun again after the version that it reached; after a list that cannot be read,
// with the full list.
func TestWatchReconnectsWhereItEnded(t *testing.T) {
	asked, replies := make(chan string, 8), make(chan string, 8)
	s, w := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
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
		if got := next(t, asked); got != step.query {
			t.Errorf("asked %q, want %q", got, step.query)
		}
		replies <- step.reply
	}
	for _, rev := range []int{43, 44, 45} {
		if got := next(t, s.reports); got != fmt.Sprint("list ", rev, " by ", core.FromWatch) {
			t.Errorf("told %q", got)
		}
	}
}

// A change is reported within 6 s also where a call hung, the longest pause follows, and the next watch
// hangs too.
func TestChangeIsKnownWithinSixSeconds(t *testing.T) {
	const told = 6 * time.Second
	for failures := range 100 {
		least, most := backoff(failures, 0), backoff(failures, 1)
		if least <= 0 || least > most {
			t.Fatalf("after %d failures: %v to %v", failures, least, most)
		}
		if late := 2*answerTimeout + most; late >= told {
			t.Fatalf("after %d failures a change may be told %v late", failures, late)
		}
	}
}

// A watch may become silent and stay open. Another one replaces it before changes in the meantime count as
// known.
func TestSilentWatchIsReplaced(t *testing.T) {
	const told = 6 * time.Second
	asked := make(chan time.Time, 8)
	s, w := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
		asked <- time.Now()
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	watch(s, w, 1)
	began := next(t, asked)
	if took := next(t, asked).Sub(began); took > told-500*time.Millisecond {
		t.Errorf("silent for %v", took)
	}
}

// The lists of a watch may be broken into lines anywhere, and arrive in any pieces.
func TestListsMayBeBrokenIntoLines(t *testing.T) {
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
				t.Errorf("pieces of %d: told %q", piece, got)
			}
		}
	}
}

// A part of a list, however slowly it comes, is no sign of life: a change behind it would not be noticed.
func TestPartOfListIsNoKeepAlive(t *testing.T) {
	t.Parallel()
	const told = 6 * time.Second
	for name, half := range map[string]string{"of a line": `{"rev":8,"targets":[`, "of many": "{\n\t\"rev\": 8,\n", "behind a list": "{\"rev\":8,\"targets\":[]}\n{\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			asked := make(chan time.Time, 8)
			s, w := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
				asked <- time.Now()
				fmt.Fprint(w, half)
				for r.Context().Err() == nil {
					http.NewResponseController(w).Flush()
					time.Sleep(50 * time.Millisecond)
					fmt.Fprint(w, "\n")
				}
			})
			watch(s, w, 1)
			began := next(t, asked)
			if took := next(t, asked).Sub(began); took > told-2*time.Second {
				t.Errorf("taken for alive for %v", took)
			}
		})
	}
}

// A malformed list loses nothing: a watch asks for the full list instead, and a fetch has failed.
func TestMalformedListCausesFullList(t *testing.T) {
	for _, text := range []string{`{"rev":9,"all":true}`, `{"rev":9,"all":true,"targets":[{}]}`, `null`, `{"rev":"9"}`, `[]`, `7`, `{"rev":-1}`} {
		asked := make(chan string, 8)
		s, w := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
			asked <- r.URL.RawQuery
			fmt.Fprintln(w, text)
			http.NewResponseController(w).Flush()
			if r.URL.Query().Has("since") {
				<-r.Context().Done()
			}
		})
		watch(s, w, 4)
		next(t, asked)
		if got := next(t, asked); got != "follow=1" {
			t.Errorf("%s: then asked %q, want the whole list", text, got)
		}
		s.Post(w.Stop)
		s.Post(w.Fetch)
		for next(t, asked) != "" { // until the fetch, which follows nothing
			continue
		}
		if got := next(t, s.reports); got != "failed" {
			t.Errorf("%s: told %q", text, got)
		}
	}
}

// Where lists must be asked for, a watch that is silent, breaks in the middle of a line or is not answered
// ends with a report, and is begun again when the sink says so.
func TestBrokenWatchIsReportedWhereListsArePulled(t *testing.T) {
	step := 0
	s, w := startWatcher(t, true, func(w http.ResponseWriter, r *http.Request) {
		switch step++; step {
		case 1: // silent after its first line
			fmt.Fprint(w, listLine(8))
			http.NewResponseController(w).Flush()
		case 2: // breaks off
			half := listLine(9)
			fmt.Fprint(w, half[:len(half)/2])
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		<-r.Context().Done() // not answered
	})
	for i, want := range []string{fmt.Sprint("list 8 by ", core.FromWatch), "failed", "failed", "failed"} {
		if i != 1 {
			watch(s, w, 7)
		}
		if got := next(t, s.reports); got != want {
			t.Errorf("told %q, want %q", got, want)
		}
	}
}

// A call of a discovery is one request: where it is redirected or fails, nothing else is requested.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect, http.StatusServiceUnavailable} {
		var asked atomic.Int64
		s, w := startWatcher(t, true, func(w http.ResponseWriter, _ *http.Request) {
			asked.Add(1)
			w.Header().Set("Location", "/v1/endpoints?elsewhere=1")
			w.WriteHeader(status)
		})
		s.Post(w.Fetch)
		if got := next(t, s.reports); got != "failed" || asked.Load() != 1 {
			t.Errorf("status %d: a fetch is %q after %d requests", status, got, asked.Load())
		}
		watch(s, w, 1)
		if got := next(t, s.reports); got != "failed" || asked.Load() != 2 {
			t.Errorf("status %d: a watch is %q after %d requests in all", status, got, asked.Load())
		}
	}
}

// A fetch reports the full list. One that fails does not end a watch that stands, and is reported where
// there is none.
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
		t.Errorf("told %q and %d more; %d more watches", got, len(s.reports), len(watches))
	}
	s.Post(w.Stop)
	replies <- ""
	s.Post(w.Fetch)
	if got := next(t, s.reports); got != "failed" {
		t.Errorf("told %q", got)
	}
}
