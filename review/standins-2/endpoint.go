package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of a model endpoint of the site gnv-nominering.
const (
	placesForModels   = 3 // 220,000 MB, models of 72,700 MB
	coldLoad          = 600 * time.Millisecond
	warmLoad          = 400 * time.Millisecond // a model that the endpoint has held before
	reportLag         = 200 * time.Millisecond // the age of the state that GET /report shows
	workTime          = 20 * time.Millisecond
	heartbeatInterval = 1200 * time.Millisecond
)

// machine is the machine of an endpoint: its address, and the models on its own disk. Each start is a new incarnation.
type machine struct {
	system *system
	number int
	starts int
	disk   map[string]bool
}

// incarnation is one run of an endpoint, from its start to its end.
type incarnation struct {
	machine *machine
	id      string
	server  *http.Server
	ended   chan struct{}

	mu          sync.Mutex
	models      map[string]int // requests under way, by loaded model
	sequence    int            // accepted orders
	beats       int
	busyWith    string // the model of the order under way; "" if there is none
	states      []reportedState
	connections map[net.Conn]bool
	hasEnded    bool
	overloaded  bool // it was ordered to load beyond its memory
}

// reportedState is the answer to GET /report from a time on.
type reportedState struct {
	since time.Time
	body  []byte
}

// start starts the next incarnation, which holds the given models. Every start but the first is empty.
func (m *machine) start(models ...string) (*incarnation, error) {
	m.starts++
	e := &incarnation{
		machine: m, id: fmt.Sprintf("i-%d-%d", m.number, m.starts), ended: make(chan struct{}), models: map[string]int{},
		connections: map[net.Conn]bool{},
	}
	for _, model := range models {
		e.models[model] = 0
		m.disk[model] = true
	}
	e.mu.Lock()
	e.stateChanged()
	e.mu.Unlock()
	listener, err := listen(m.address())
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second, ConnState: e.connectionChanged}
	go e.server.Serve(listener)
	go e.sendHeartbeats()
	m.system.note("endpoint", "%s starts at %s with %v", e.id, m.address(), models)
	return e, nil
}

func (m *machine) address() string { return m.system.address(endpointHost(m.number), endpointPort) }

func (e *incarnation) connectionChanged(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.connections[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.connections, conn)
	}
}

// crash ends the incarnation: its connections are reset, and its address refuses new ones. It says nothing.
func (e *incarnation) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hasEnded {
		return
	}
	e.hasEnded = true
	close(e.ended)
	for conn := range e.connections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	go e.server.Close()
}

func (e *incarnation) sendHeartbeats() {
	for control := e.machine.number; ; control++ {
		for range coreMachines {
			if status, err := e.machine.system.post(e.machine.system.control(control), "/instances/"+e.id+"/heartbeat", e.heartbeat(), nil); err == nil && status == http.StatusOK {
				break
			}
			control++
		}
		control-- // the next heartbeat goes to the same control process
		select {
		case <-e.ended:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

type loadedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// loaded returns the loaded models. The caller holds e.mu.
func (e *incarnation) loaded() []loadedModel {
	models := []loadedModel{}
	for name := range e.models {
		models = append(models, loadedModel{Name: name, Version: 1, Adapters: []string{}})
	}
	slices.SortFunc(models, func(a, b loadedModel) int { return strings.Compare(a.Name, b.Name) })
	return models
}

func (e *incarnation) heartbeat() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats++
	body, _ := json.Marshal(map[string]any{
		"service": "sprakmodell", "address": e.machine.address(), "zone": fmt.Sprintf("hall-%d", e.machine.number%coreMachines),
		"version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "stage": "both", "models": e.loaded(), "sequence": e.beats,
	})
	return string(body)
}

// stateChanged keeps the present state for GET /report. The caller holds e.mu.
func (e *incarnation) stateChanged() {
	body, _ := json.Marshal(map[string]any{
		"stage": "both", "models": e.loaded(), "busy": e.busyWith != "", "sequence": e.sequence, "queued": 0, "active": 0,
		"kv_cache_used": 0, "kv_cache_total": 233278, "handles": 0,
	})
	e.states = append(e.states, reportedState{since: time.Now(), body: body})
}

// ServeHTTP serves requests, orders and reports as the pages say. Whatever names another incarnation is answered 421.
func (e *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		e.reject(w, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r.Header.Get("X-Expected-Instance"), body)
	default:
		e.run(w, r)
	}
}

// reject answers that a request was not run.
func (e *incarnation) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// report answers with the state of reportLag ago, or the first one.
func (e *incarnation) report(w http.ResponseWriter) {
	e.mu.Lock()
	body := e.states[0].body
	for _, state := range e.states {
		if time.Since(state.since) >= reportLag {
			body = state.body
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	IfRevision   *int   `json:"if_revision"`
	LeaseHolder  string `json:"lease_holder"`
	FencingToken uint64 `json:"fencing_token"`
}

// order takes an order, or says why it does not.
func (e *incarnation) order(w http.ResponseWriter, expected string, body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil || o.LeaseHolder == "" || o.FencingToken == 0 || o.Model == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	before := e.loaded()
	sequence := e.sequence
	status := e.take(o)
	overloaded := e.overloaded
	e.mu.Unlock()
	var names []string
	for _, model := range before {
		names = append(names, model.Name)
	}
	e.machine.system.note("order", "%s from %s: %s %s, if_revision %s, X-Expected-Instance %q; it is at %s, sequence %d, which holds %v -> %d",
		e.machine.address(), o.LeaseHolder, o.Operation, o.Model, revisionText(o.IfRevision), expected, e.id, sequence, names, status)
	w.WriteHeader(status)
	if overloaded {
		e.machine.system.note("LIMIT", "%s was ordered to load %s beyond its memory, beside %v, and falls", e.id, o.Model, names)
		go e.crash()
	}
}

func revisionText(revision *int) string {
	if revision == nil {
		return "none"
	}
	return fmt.Sprint(*revision)
}

// take decides on an order and begins it. The caller holds e.mu.
func (e *incarnation) take(o order) (status int) {
	_, holds := e.models[o.Model]
	switch {
	case e.busyWith != "", o.IfRevision != nil && *o.IfRevision != e.sequence:
		return http.StatusConflict
	case o.Operation == "loading" && holds, o.Operation == "unloading" && !holds:
		return http.StatusOK
	case o.Operation != "loading" && o.Operation != "unloading":
		return http.StatusBadRequest
	}
	e.sequence++
	e.busyWith = o.Model
	if o.Operation == "unloading" {
		go e.unload(o.Model)
	} else {
		e.overloaded = len(e.models) >= placesForModels
		takes := coldLoad
		if e.machine.disk[o.Model] {
			takes = warmLoad
		}
		time.AfterFunc(takes, func() { e.finish(o.Model, true) })
	}
	e.stateChanged()
	return http.StatusAccepted
}

// unload waits for the runs of a model and discards it.
func (e *incarnation) unload(model string) {
	for {
		e.mu.Lock()
		running := e.models[model]
		e.mu.Unlock()
		if running == 0 {
			e.finish(model, false)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// finish ends the order under way.
func (e *incarnation) finish(model string, loaded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if loaded {
		e.models[model] = 0
		e.machine.disk[model] = true
	} else {
		delete(e.models, model)
	}
	e.busyWith = ""
	e.stateChanged()
}

// run runs a request for a model.
func (e *incarnation) run(w http.ResponseWriter, r *http.Request) {
	model := r.Header.Get("X-Model")
	e.mu.Lock()
	_, holds := e.models[model]
	isBusy := e.busyWith == model
	if holds && !isBusy {
		e.models[model]++
	}
	e.mu.Unlock()
	switch {
	case isBusy:
		e.reject(w, http.StatusServiceUnavailable)
		return
	case !holds:
		e.reject(w, http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		e.mu.Lock()
		e.models[model]--
		e.mu.Unlock()
	}()
	select {
	case <-e.ended:
		return
	case <-time.After(workTime):
	}
	w.Header().Set("X-Response-Signature", e.id+"."+r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for event := range 3 {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event+1, model)
	}
}

// request sends one request for a model to a proxy, and again after a promise that it has not run, for up to the given time.
func (s *system) request(frontend int, model string, until time.Duration) (served bool) {
	for attempt := 0; s.now() < until; attempt++ {
		status, retryAfter := s.attempt(frontend+attempt, model)
		if status == http.StatusOK {
			return true
		}
		if status != http.StatusServiceUnavailable {
			return false
		}
		time.Sleep(retryAfter)
	}
	return false
}

var requests struct {
	sync.Mutex
	sent int
}

// attempt sends one request and returns its status, 0 without an answer, and the time of its Retry-After.
func (s *system) attempt(frontend int, model string) (status int, retryAfter time.Duration) {
	requests.Lock()
	requests.sent++
	id := fmt.Sprintf("q%d", requests.sent)
	requests.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.frontend(frontend)+"/m/"+id, strings.NewReader("prompt"))
	if err != nil {
		return 0, 0
	}
	request.Host = "modell.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", model)
	request.Header.Set("X-Deadline-Ms", "5000")
	request.Header.Set("X-Token-Usage", "800,20")
	request.Header.Set("X-Prompt-Prefix", "5c1e07a2:400,"+id+":400")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}
