package dataplane

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxExplanations bounds the requests that are remembered.
const maxExplanations = 512

// RequestExplanation says where the time of one request went that was not answered in time, as GET /explain answers. The JSON
// names are fixed.
type RequestExplanation struct {
	Request        string             `json:"request"`
	Route          string             `json:"route"`
	Model          string             `json:"model,omitempty"`
	Adapter        string             `json:"adapter,omitempty"`
	Endpoint       string             `json:"endpoint,omitempty"` // of the last attempt
	Attempts       int                `json:"sent"`               // how often it was sent
	Result         string             `json:"result"`
	Cause          string             `json:"cause"`
	EndedAt        time.Time          `json:"ended_at"`
	TookMs         int64              `json:"took_ms"`
	FirstByteMs    int64              `json:"first_ms,omitempty"`  // until its response started
	LongestPauseMs int64              `json:"pause_ms,omitempty"`  // between two chunks of its response
	PhasesMs       map[string]int64   `json:"spent_ms,omitempty"`  // before its response started, by phase
	SelectedBy     map[string]float64 `json:"chosen_by,omitempty"` // the figures by which its last endpoint was compared
}

// explain is what is remembered of a request at its end.
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

// explanationLog has the last requests that were not answered in time, the oldest first. It belongs to the tables' owner.
type explanationLog struct{ requests []RequestExplanation }

func (l *explanationLog) add(e RequestExplanation) {
	if len(l.requests) >= maxExplanations {
		l.requests = append(l.requests[:0], l.requests[1:]...)
	}
	l.requests = append(l.requests, e)
}

// find returns the remembered requests with an id, or all for an empty one.
func (l *explanationLog) find(id string) []RequestExplanation {
	found := []RequestExplanation{}
	for _, e := range l.requests {
		if id == "" || e.Request == id {
			found = append(found, e)
		}
	}
	return found
}

// handleExplain answers why requests were late, rejected or failed: that of the query's id, or all that are remembered.
func (s *Server) handleExplain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("request")
	found := queryTables(s, func() []RequestExplanation { return s.explanations.find(id) })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(found); err != nil {
		s.log.Debug("explanation.not_sent", "error", err)
	}
}
