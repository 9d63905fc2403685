package client

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// service is an in-memory implementation of the coordination service.
type service struct {
	mu            sync.Mutex
	locks         map[string]serviceLock
	token         uint64
	number        uint64
	cells         map[string]Event
	first         map[string]uint64 // by key and value: the revision of the first put
	log           []Event
	compactedUpTo uint64 // events up to this revision were removed from the history
	changed       chan struct{}
	requests      []string // host, method and path of each request, in order
}

type serviceLock struct {
	holder string
	token  uint64
	until  time.Time
}

func newService() *service {
	return &service{
		locks: map[string]serviceLock{}, cells: map[string]Event{}, first: map[string]uint64{}, changed: make(chan struct{}),
	}
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /locks/{id}/begin", s.begin)
	mux.HandleFunc("POST /locks/{id}/heartbeat", s.heartbeat)
	mux.HandleFunc("POST /locks/{id}/finish", s.finish)
	mux.HandleFunc("POST /numbers/{id}", s.next)
	mux.HandleFunc("POST /cells/{id}/replace", s.replace)
	mux.HandleFunc("GET /cells/{id}/read", s.read)
	mux.HandleFunc("GET /watch/{id}", s.watch)
	mux.ServeHTTP(w, r)
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func lockRequest(r *http.Request) (body struct {
	LeaseHolder  string `json:"lease_holder"`
	FencingToken uint64 `json:"fencing_token"`
	HoldMs       int64  `json:"hold_ms"`
},
) {
	json.NewDecoder(r.Body).Decode(&body)
	return body
}

func (s *service) begin(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, body := r.PathValue("id"), lockRequest(r)
	lock := s.locks[id]
	if lock.holder != body.LeaseHolder && time.Now().Before(lock.until) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.token++
	until := time.Now().Add(time.Duration(body.HoldMs) * time.Millisecond)
	s.locks[id] = serviceLock{holder: body.LeaseHolder, token: s.token, until: until}
	answerJSON(w, http.StatusOK, map[string]uint64{"fencing_token": s.token})
}

func (s *service) heartbeat(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, body := r.PathValue("id"), lockRequest(r)
	lock := s.locks[id]
	if lock.holder != body.LeaseHolder || lock.token != body.FencingToken || !time.Now().Before(lock.until) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	lock.until = time.Now().Add(time.Duration(body.HoldMs) * time.Millisecond)
	s.locks[id] = lock
}

func (s *service) finish(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, body := r.PathValue("id"), lockRequest(r)
	if lock := s.locks[id]; lock.holder == body.LeaseHolder && lock.token == body.FencingToken {
		delete(s.locks, id)
	}
}

func (s *service) next(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	answerJSON(w, http.StatusOK, map[string]uint64{"value": s.number})
}

func (s *service) replace(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var body struct {
		Value      string  `json:"value"`
		IfRevision *uint64 `json:"if_revision"`
	}
	json.NewDecoder(r.Body).Decode(&body)
	id := r.PathValue("id")
	if first := s.first[id+" "+body.Value]; first > 0 {
		answerJSON(w, http.StatusOK, map[string]uint64{"revision": first})
		return
	}
	if present := s.cells[id].Revision; body.IfRevision != nil && *body.IfRevision != present {
		answerJSON(w, http.StatusPreconditionFailed, map[string]uint64{"revision": present})
		return
	}
	event := Event{Key: id, Value: body.Value, Revision: uint64(len(s.log)) + 1}
	s.cells[id], s.first[id+" "+body.Value] = event, event.Revision
	s.log = append(s.log, event)
	close(s.changed)
	s.changed = make(chan struct{})
	answerJSON(w, http.StatusOK, map[string]uint64{"revision": event.Revision})
}

func (s *service) read(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cell, ok := s.cells[r.PathValue("id")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, http.StatusOK, cell)
}

// watch serves watch calls. All keys belong to a single group.
func (s *service) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := s.log[min(after, uint64(len(s.log))):], uint64(len(s.log)), s.changed
		gone := after > 0 && after < s.compactedUpTo
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case after == 0:
			answerJSON(w, http.StatusOK, watchResponse{Revision: revision})
			return
		case len(events) > 0:
			answerJSON(w, http.StatusOK, watchResponse{Events: events, Revision: revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answerJSON(w, http.StatusOK, watchResponse{Revision: revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// reaction handles one request in place of the network. serve passes the request to the service.
type reaction func(r *http.Request, serve func() *http.Response) (*http.Response, error)

// network is a transport to the service for tests in a synctest bubble. Each request uses the next planned reaction of its
// host, or else of any host. Without a planned reaction the service answers it.
type network struct {
	*service
	plan      map[string][]reaction // by host; "" for any
	atTestEnd func(cleanup func())  // registers a cleanup that ends goroutines of the test
}

func newNetwork(t *testing.T) *network {
	t.Helper()
	return &network{service: newService(), plan: map[string][]reaction{}, atTestEnd: t.Cleanup}
}

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	serve := func() *http.Response {
		recorder := httptest.NewRecorder()
		n.ServeHTTP(recorder, r)
		return recorder.Result()
	}
	n.mu.Lock()
	n.requests = append(n.requests, r.URL.Host+" "+r.Method+" "+r.URL.Path)
	planned := n.nextReaction(r.URL.Host)
	n.mu.Unlock()
	if planned != nil {
		return planned(r, serve)
	}
	return servedAfter(0)(r, serve)
}

func (n *network) nextReaction(host string) reaction {
	for _, key := range []string{host, ""} {
		if planned := n.plan[key]; len(planned) > 0 {
			n.plan[key] = planned[1:]
			return planned[0]
		}
	}
	return nil
}

// planReactions plans the reactions to the next requests to a host.
func (n *network) planReactions(host string, reactions ...reaction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.plan[host] = append(n.plan[host], reactions...)
}

// count returns the number of requests whose path ends with a suffix.
func (n *network) count(suffix string) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, request := range n.requests {
		if strings.HasSuffix(request, suffix) {
			count++
		}
	}
	return count
}

// servedAfter passes the request to the service, and returns the response after a delay.
func servedAfter(delay time.Duration) reaction {
	return func(r *http.Request, serve func() *http.Response) (*http.Response, error) {
		response := serve()
		if err := sleep(r.Context(), delay); err != nil {
			return nil, err
		}
		return response, nil
	}
}

// answeredWith answers with a status without calling the service.
func answeredWith(status int, header ...string) reaction {
	return func(*http.Request, func() *http.Response) (*http.Response, error) {
		recorder := httptest.NewRecorder()
		for i := 0; i+1 < len(header); i += 2 {
			recorder.Header().Set(header[i], header[i+1])
		}
		recorder.WriteHeader(status)
		return recorder.Result(), nil
	}
}

// neverAnswered waits until the request's context ends.
func neverAnswered(r *http.Request, _ func() *http.Response) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// responseLost lets the service execute the call, and then fails as if the connection was reset.
func responseLost(_ *http.Request, serve func() *http.Response) (*http.Response, error) {
	serve()
	return nil, errors.New("connection reset")
}

// connectionRefused fails as if the connection was refused.
func connectionRefused(*http.Request, func() *http.Response) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
}
