package configsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"dykering/internal/lab/pause"
	"dykering/internal/sessions"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = time.Second
	endpointSlots     = 64
)

// endpoint is a fake endpoint whose answers name its service.
type endpoint struct {
	id, service, address string
	server               *http.Server
	known                controlProcesses
	client               http.Client
	sequence             uint64
}

// startEndpoint starts an endpoint of a service.
func startEndpoint(id, service string, known controlProcesses) (*endpoint, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, service: service, address: listener.Addr().String(), known: known, client: http.Client{Timeout: heartbeatTimeout}}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: time.Second}
	go e.server.Serve(listener)
	return e, nil
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a request that breaks off is of no interest here
	w.Header().Set("X-Instance-Id", e.id)
	if r.URL.Path == "/health" {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", e.id)
	io.WriteString(w, e.service)
}

// keepSession sends heartbeats until done is closed.
func (e *endpoint) keepSession(done <-chan struct{}) {
	for pause.For(done, heartbeatInterval) {
		for _, process := range rotated(e.known()) {
			if e.sendHeartbeat(process.address) {
				break
			}
		}
	}
}

// rotated returns the processes from a random one on.
func rotated(processes []namedAddress) []namedAddress {
	first := rand.IntN(len(processes))
	return append(processes[first:len(processes):len(processes)], processes[:first]...)
}

func (e *endpoint) sendHeartbeat(address string) bool {
	e.sequence++
	body := mustMarshal(sessions.Heartbeat{
		Service: e.service, Address: e.address, Zone: "zone-0", Version: "v1", Slots: endpointSlots, State: sessions.Ready, Stage: "both",
		Models: []sessions.LoadedModel{}, Sequence: e.sequence,
	})
	url := fmt.Sprintf("http://%s/instances/%s/heartbeat", address, e.id)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := e.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
