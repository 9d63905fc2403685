package systemdemo

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// flaw is a guarantee that the fake control process violates on purpose.
type flaw string

const (
	none              flaw = "none"
	answersAreLost    flaw = "each fourth call is executed and answered with 500"
	notServed         flaw = "coordination is not served"
	numberRepeats     flaw = "a number repeats"
	tokenRepeats      flaw = "the token does not rise"
	lockPassesEarly   flaw = "the lock passes on before its time"
	lostLockIsRenewed flaw = "a lost lock is renewed"
	watchSkips        flaw = "the watch skips a put"
	watchChanges      flaw = "the watch shows another value"
	readIsOld         flaw = "a read is older than the last put"
	revisionRepeats   flaw = "a revision repeats"
)

// fakeControl is an in-memory control process with a coordination service for one lock, one number and one group.
type fakeControl struct {
	flaw flaw

	mu       sync.Mutex
	calls    int
	number   uint64
	holder   string
	token    uint64
	until    time.Time
	refusals int      // number of refused requests for the lock
	changes  []Change // changes of the only group, ordered by revision
	keys     map[string]Change
	watchers *sync.Cond
}

// startFakeControl starts a fake control process and returns its address.
func startFakeControl(t *testing.T, f flaw) string {
	t.Helper()
	s := &fakeControl{flaw: f, keys: map[string]Change{}}
	s.watchers = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /locks/{id}/begin", s.begin)
	mux.HandleFunc("POST /locks/{id}/heartbeat", s.heartbeat)
	mux.HandleFunc("POST /locks/{id}/finish", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /numbers/{id}", s.next)
	mux.HandleFunc("POST /cells/{id}/replace", s.replace)
	mux.HandleFunc("GET /cells/{id}/read", s.read)
	mux.HandleFunc("GET /watch/{id}", s.watch)
	server := httptest.NewServer(s.locked(mux))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// locked serves one call at a time. With answersAreLost it executes each fourth call and answers it with 500.
func (s *fakeControl) locked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls++
		switch {
		case s.flaw == notServed:
			w.WriteHeader(http.StatusNotFound)
		case s.flaw == answersAreLost && s.calls%4 == 0:
			next.ServeHTTP(httptest.NewRecorder(), r)
			w.WriteHeader(http.StatusInternalServerError)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (s *fakeControl) begin(w http.ResponseWriter, r *http.Request) {
	var call lockCall
	json.NewDecoder(r.Body).Decode(&call)
	held := s.holder != "" && s.holder != call.Holder && time.Now().Before(s.until)
	if held {
		s.refusals++
	}
	passesEarly := s.flaw == lockPassesEarly && s.refusals > renewals
	if held && !passesEarly {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if s.holder != call.Holder && (s.holder == "" || s.flaw != tokenRepeats) {
		s.token++
	}
	s.holder, s.until = call.Holder, time.Now().Add(time.Duration(call.HoldMs)*time.Millisecond)
	json.NewEncoder(w).Encode(map[string]uint64{"fencing_token": s.token})
}

func (s *fakeControl) heartbeat(w http.ResponseWriter, r *http.Request) {
	var call lockCall
	json.NewDecoder(r.Body).Decode(&call)
	if call.Holder != s.holder && s.flaw != lostLockIsRenewed {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.until = time.Now().Add(time.Duration(call.HoldMs) * time.Millisecond)
}

func (s *fakeControl) next(w http.ResponseWriter, _ *http.Request) {
	if s.flaw != numberRepeats || s.number < 3 {
		s.number++
	}
	json.NewEncoder(w).Encode(map[string]uint64{"value": s.number})
}

func (s *fakeControl) replace(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Value      string `json:"value"`
		IfRevision uint64 `json:"if_revision"`
	}
	json.NewDecoder(r.Body).Decode(&call)
	key := s.keys[r.PathValue("id")]
	if key.Value != call.Value { // a put of the current value is a retry
		if key.Revision != call.IfRevision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		key = Change{Name: r.PathValue("id"), Value: call.Value, Revision: uint64(len(s.changes) + 1)}
		s.changes = append(s.changes, key)
		s.keys[key.Name] = key
		s.watchers.Broadcast()
	}
	if s.flaw == revisionRepeats {
		key.Revision = min(key.Revision, 3)
	}
	json.NewEncoder(w).Encode(key)
}

func (s *fakeControl) read(w http.ResponseWriter, r *http.Request) {
	read := s.keys[r.PathValue("id")]
	if s.flaw == readIsOld {
		read = s.changes[len(s.changes)-2]
	}
	json.NewEncoder(w).Encode(read)
}

func (s *fakeControl) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.FormValue("after"))
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	late := false
	timer := time.AfterFunc(time.Duration(wait)*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		late = true
		s.watchers.Broadcast()
	})
	defer timer.Stop()
	for len(s.changes) <= after && !late {
		s.watchers.Wait()
	}
	events := append([]Change{}, s.changes[after:]...)
	if len(events) > 0 && events[0].Revision == 3 {
		switch s.flaw {
		case watchSkips:
			events = events[1:]
		case watchChanges:
			events[0].Value = "another"
		}
	}
	json.NewEncoder(w).Encode(Changes{Events: events, Revision: uint64(len(s.changes))})
}
