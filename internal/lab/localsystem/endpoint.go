package localsystem

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dykering/internal/sessions"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	loadTime          = 200 * time.Millisecond
	// drainGracePeriod is the time after the acknowledgement of a drain from which no request may arrive any more.
	drainGracePeriod = 1200 * time.Millisecond
)

const (
	// LongAnswerPath begins the paths of requests with an answer of more than longAnswerBytes.
	LongAnswerPath  = requestPath + "long/"
	longAnswerBytes = 200 << 10
)

// Endpoint is a fake endpoint of a service with models.
type Endpoint struct {
	id       string
	operator *Operator
	server   *http.Server
	address  string

	mu           sync.Mutex
	models       []string
	busy         bool
	sequence     uint64 // number of accepted orders
	heartbeats   uint64
	state        sessions.State
	drainedAt    time.Time // time at which its drain was acknowledged, or zero
	highestToken uint64
	violations   []string
}

// startEndpoint starts an endpoint with the models loaded.
func startEndpoint(id string, o *Operator, models ...string) (*Endpoint, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{id: id, operator: o, address: listener.Addr().String(), models: models, state: sessions.Ready}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.handleReport)
	mux.HandleFunc("POST /order", e.handleOrder)
	mux.HandleFunc("/", e.handleRequest)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go e.server.Serve(listener)
	return e, nil
}

// sendHeartbeat sends a heartbeat and returns true if it was acknowledged.
func (e *Endpoint) sendHeartbeat() bool {
	e.mu.Lock()
	e.heartbeats++
	beat := sessions.Heartbeat{
		Service: serviceName, Address: e.address, Zone: "zone-0", Version: "v1", Slots: 8, State: e.state, Stage: "both",
		Models: e.loadedModels(), Sequence: e.heartbeats,
	}
	e.mu.Unlock()
	return e.operator.control.Post("/instances/"+e.id+"/heartbeat", beat, nil) == http.StatusOK
}

// loadedModels returns the loaded models. The caller must hold e.mu.
func (e *Endpoint) loadedModels() []sessions.LoadedModel {
	models := []sessions.LoadedModel{}
	for _, name := range e.models {
		models = append(models, sessions.LoadedModel{Name: name, Version: 1, Adapters: []string{}})
	}
	return models
}

// keepSession sends heartbeats until the endpoint drains or done is closed.
func (e *Endpoint) keepSession(done <-chan struct{}) {
	for {
		e.mu.Lock()
		ready := e.state == sessions.Ready
		e.mu.Unlock()
		if !ready {
			return
		}
		e.sendHeartbeat()
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// drain announces that the endpoint drains until that is acknowledged. It returns false if done is closed before.
func (e *Endpoint) drain(done <-chan struct{}) bool {
	e.mu.Lock()
	e.state = sessions.Draining
	e.mu.Unlock()
	for !e.sendHeartbeat() {
		select {
		case <-done:
			return false
		case <-time.After(heartbeatInterval):
		}
	}
	e.mu.Lock()
	e.drainedAt = time.Now()
	e.mu.Unlock()
	return true
}

func (e *Endpoint) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"models": e.loadedModels(), "busy": e.busy, "sequence": e.sequence})
}

// handleOrder executes an order that loads or unloads a model. It answers 409 while another order is in progress.
func (e *Endpoint) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation    string `json:"operation"`
		Model        string `json:"model"`
		FencingToken uint64 `json:"fencing_token"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		http.Error(w, "the order is not valid JSON", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.FencingToken < e.highestToken {
		e.violations = append(e.violations, e.id+" received an order with a lower fencing token than an earlier order")
	}
	e.highestToken = max(e.highestToken, order.FencingToken)
	if e.busy {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.busy = true
	e.sequence++
	time.AfterFunc(loadTime, func() { e.finish(order.Operation, order.Model) })
	w.WriteHeader(http.StatusAccepted)
}

func (e *Endpoint) finish(operation, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = false
	e.models = slices.DeleteFunc(e.models, func(loaded string) bool { return loaded == model })
	if operation == "loading" {
		e.models = append(e.models, model)
	}
}

// handleRequest answers health checks and client requests.
func (e *Endpoint) handleRequest(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("X-Instance-Id", e.id)
	if r.URL.Path == "/health" {
		return
	}
	if !e.drainedAt.IsZero() && time.Since(e.drainedAt) > drainGracePeriod {
		e.violations = append(e.violations, e.id+" got a request after its drain was acknowledged")
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "stand-in")
	if !slices.Contains(e.models, r.Header.Get("X-Model")) {
		w.Header().Set("X-Not-Executed", "model")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("answer of " + e.id))
	if strings.HasPrefix(r.URL.Path, LongAnswerPath) {
		w.Write(make([]byte, longAnswerBytes))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}
