package dataplane

import (
	"encoding/json"
	"net/http"
	"time"
)

// mostExplained bounds the requests that are remembered.
const mostExplained = 512

// Explained tells where the time of one request went that was not answered in time.
type Explained struct {
	Request  string             `json:"request"`
	Route    string             `json:"route"`
	Model    string             `json:"model,omitempty"`
	Adapter  string             `json:"adapter,omitempty"`
	Endpoint string             `json:"endpoint,omitempty"` // that it was sent to last
	Sent     int                `json:"sent"`               // how often it was sent
	Result   string             `json:"result"`
	Cause    string             `json:"cause"`
	EndedAt  time.Time          `json:"ended_at"`
	TookMs   int64              `json:"took_ms"`
	FirstMs  int64              `json:"first_ms,omitempty"` // until its answer began
	PauseMs  int64              `json:"pause_ms,omitempty"` // the longest between two pieces of its answer
	SpentMs  map[string]int64   `json:"spent_ms,omitempty"` // before its answer began, by phase
	Chosen   map[string]float64 `json:"chosen_by,omitempty"`
}

// explained is what is remembered of a request at its end.
func (c *carrying) explained(end ending) Explained {
	q, a, now := c.request, &c.account, time.Now()
	e := Explained{Request: q.id, Route: q.route.Name, Model: q.model, Adapter: q.adapter, Sent: c.sent, Result: end.result, Cause: end.cause,
		EndedAt: now, TookMs: now.Sub(q.arrived).Milliseconds(), PauseMs: a.pause.Milliseconds(), SpentMs: map[string]int64{},
		Endpoint: c.chosen.ID}
	if c.chosen.ID != "" {
		e.Chosen = map[string]float64{"own_calls": float64(c.chosen.OwnCalls), "work": c.chosen.EstimatedLoad}
	}
	if !a.began.IsZero() {
		e.FirstMs = a.began.Sub(q.arrived).Milliseconds()
	}
	for p := range phases {
		if ms := a.spent[p].Milliseconds(); ms > 0 {
			e.SpentMs[phaseNames[p]] = ms
		}
	}
	return e
}

// explainedLog is the last requests that were not answered in time, the oldest first. The owner of the tables owns it.
type explainedLog struct{ requests []Explained }

func (l *explainedLog) note(e Explained) {
	if len(l.requests) >= mostExplained {
		l.requests = append(l.requests[:0], l.requests[1:]...)
	}
	l.requests = append(l.requests, e)
}

// about are the remembered requests with an id, or all.
func (l *explainedLog) about(id string) []Explained {
	found := []Explained{}
	for _, e := range l.requests {
		if id == "" || e.Request == id {
			found = append(found, e)
		}
	}
	return found
}

// handleExplain tells why requests were late, refused or failed: that of the query's id, or the last ones.
func (p *Process) handleExplain(w http.ResponseWriter, r *http.Request) {
	found := ask(p, func() []Explained { return p.late.about(r.URL.Query().Get("request")) })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(found); err != nil {
		p.log.Debug("explanation.not_sent", "error", err)
	}
}
