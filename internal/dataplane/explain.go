package dataplane

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxExplanations bounds the explanations that are kept.
const maxExplanations = 512

// RequestExplanation explains where the time went of one request that was late, rejected, canceled or failed. GET /explain
// returns it as JSON. The JSON names are part of that interface and must not change.
type RequestExplanation struct {
	Request        string             `json:"request"`
	Route          string             `json:"route"`
	Model          string             `json:"model,omitempty"`
	Adapter        string             `json:"adapter,omitempty"`
	Endpoint       string             `json:"endpoint,omitempty"` // ID of the endpoint of the last attempt
	Attempts       int                `json:"sent"`               // number of times that the request was sent
	Result         string             `json:"result"`
	Cause          string             `json:"cause"`
	EndedAt        time.Time          `json:"ended_at"`
	TookMs         int64              `json:"took_ms"`
	FirstByteMs    int64              `json:"first_ms,omitempty"`  // time until the response started
	LongestPauseMs int64              `json:"pause_ms,omitempty"`  // longest time between two chunks of the response
	PhasesMs       map[string]int64   `json:"spent_ms,omitempty"`  // time in each phase before the response started
	SelectedBy     map[string]float64 `json:"chosen_by,omitempty"` // figures that the last endpoint was selected by
}

// explain returns the explanation of a request that has ended.
func (x *exchange) explain(outcome requestOutcome) RequestExplanation {
	req, timing, now := x.request, &x.timing, time.Now()
	e := RequestExplanation{
		Request: req.id, Route: req.route.Name, Model: req.model, Adapter: req.adapter,
		Endpoint: x.selected.ID, Attempts: x.attempts, Result: outcome.result, Cause: outcome.cause,
		EndedAt: now, TookMs: now.Sub(req.arrivedAt).Milliseconds(),
		LongestPauseMs: timing.longestPause.Milliseconds(), PhasesMs: map[string]int64{},
	}
	if x.selected.ID != "" {
		e.SelectedBy = map[string]float64{"own_calls": float64(x.selected.OwnCalls), "work": x.selected.EstimatedLoad}
	}
	if !timing.responseStartedAt.IsZero() {
		e.FirstByteMs = timing.responseStartedAt.Sub(req.arrivedAt).Milliseconds()
	}
	for p := range phaseCount {
		if ms := timing.phaseDurations[p].Milliseconds(); ms > 0 {
			e.PhasesMs[phaseNames[p]] = ms
		}
	}
	return e
}

// explanationLog keeps the explanations of the last maxExplanations requests that were not answered in time, oldest first. Only
// the table loop uses it.
type explanationLog struct{ requests []RequestExplanation }

func (l *explanationLog) add(e RequestExplanation) {
	if len(l.requests) >= maxExplanations {
		l.requests = append(l.requests[:0], l.requests[1:]...)
	}
	l.requests = append(l.requests, e)
}

// find returns the explanations of the requests with an id, or all explanations if the ID is empty.
func (l *explanationLog) find(id string) []RequestExplanation {
	found := []RequestExplanation{}
	for _, e := range l.requests {
		if id == "" || e.Request == id {
			found = append(found, e)
		}
	}
	return found
}

// handleExplain returns the explanations of the requests with the ID in the query parameter "request", or all explanations if
// there is no such parameter.
func (s *Server) handleExplain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("request")
	found := queryTables(s, func() []RequestExplanation { return s.explanations.find(id) })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(found); err != nil {
		s.log.Debug("explanation.not_sent", "error", err)
	}
}
