package controlplane

import (
	"encoding/json"
	"net/http"

	"dykering/internal/errkind"
	"dykering/internal/sessions"
)

// maxHeartbeatBytes bounds the body of a heartbeat.
const maxHeartbeatBytes = 128 << 10

// handleHeartbeat serves POST /instances/{id}/heartbeat.
func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	heartbeat, err := readHeartbeat(r)
	if err != nil {
		writeError(w, err)
		return
	}
	id := r.PathValue("id")
	if err := s.awaitOutcome(func(answer func(error)) { s.applyHeartbeat(id, heartbeat, answer) }); err != nil {
		writeError(w, err)
		return
	}
	writeEmptyObject(w)
}

// readHeartbeat decodes and validates the body of a heartbeat.
func readHeartbeat(r *http.Request) (sessions.Heartbeat, error) {
	var heartbeat sessions.Heartbeat
	body, err := readBody(r, maxHeartbeatBytes)
	if err != nil {
		return heartbeat, err
	}
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return heartbeat, errkind.New(errkind.Malformed, err.Error())
	}
	validState := heartbeat.State == sessions.Ready || heartbeat.State == sessions.Draining
	if !validState || heartbeat.Service == "" || heartbeat.Address == "" {
		return heartbeat, errkind.New(errkind.Malformed, "service, address or state")
	}
	return heartbeat, nil
}

// handleDeregister serves POST /instances/{id}/deregister.
func (s *Server) handleDeregister(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if err := s.awaitOutcome(func(answer func(error)) { s.deregister(id, answer) }); err != nil {
		writeError(w, err)
		return
	}
	writeEmptyObject(w)
}
