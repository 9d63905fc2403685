package dataplane

import (
	"fmt"
	"io"
	"maps"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"

	"dykering/internal/routing"
)

// adminHandler returns the HTTP handler of the readiness address. It serves metrics under /metrics, explanations of requests
// under /explain, and the readiness under all other paths.
func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.handleReadiness)
	mux.HandleFunc("GET /metrics", s.handleMetrics)
	mux.HandleFunc("GET /explain", s.handleExplain)
	return mux
}

// handleReadiness answers 200 if the proxy accepts requests. It answers 503 while there is no configuration and while the process
// is stopping.
func (s *Server) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if s.isStopping() || s.config.Load() == nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// handleMetrics writes the metrics in the exposition format of Prometheus.
func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	endpoints := queryTables(s, s.pool.CountByState)
	outcomes := queryTables(s, func() map[requestOutcome]uint64 { return maps.Clone(s.outcomes) })
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	attempts := queryTables(s, func() attemptCounters { return s.attempts.clone() })
	s.writeGauges(w, endpoints)
	writeOutcomes(w, outcomes)
	writeAttempts(w, attempts)
}

// writeAttempts writes the counters of attempts, by result, by whether the endpoint may have run the request, and by whether
// the connection was reused, and the counter of surplus responses.
func writeAttempts(w io.Writer, attempts attemptCounters) {
	for outcome, count := range attempts.byOutcome {
		name := fmt.Sprintf("dykering_proxy_attempts_total{result=%q,may_have_run=\"%t\",connection=%q}",
			outcome.result, outcome.mayHaveRun, lo.Ternary(outcome.reused, "reused", "new"))
		metrics.WriteCounterUint64(w, name, count)
	}
	metrics.WriteCounterUint64(w, "dykering_proxy_surplus_responses_total", attempts.surplus)
}

// writeOutcomes writes the counters of ended requests, by kind and priority of the route, result and cause.
func writeOutcomes(w io.Writer, outcomes map[requestOutcome]uint64) {
	for outcome, count := range outcomes {
		name := fmt.Sprintf("dykering_proxy_requests_total{kind=%q,priority=\"%d\",result=%q,cause=%q}",
			outcome.kind, outcome.priority, outcome.result, outcome.cause)
		metrics.WriteCounterUint64(w, name, count)
	}
}

// writeGauges writes the gauges of the current state. Their names and labels are part of the operator's interface and must not
// change.
func (s *Server) writeGauges(w io.Writer, endpoints map[routing.EndpointState]int) {
	gauge := func(name string, value uint64) { metrics.WriteGaugeUint64(w, "dykering_proxy_"+name, value) }
	gauge("requests_under_way", uint64(max(s.requestsInFlight.Load(), 0)))
	gauge("body_memory_left_bytes", uint64(max(s.memory.Bodies.Available(), 0)))
	gauge("stopping", lo.Ternary[uint64](s.isStopping(), 1, 0))
	config := s.config.Load()
	gauge("ready", lo.Ternary[uint64](config != nil && !s.isStopping(), 1, 0))
	if config != nil {
		gauge("configuration_version", uint64(max(config.parsed.Version, 0)))
	}
	metrics.WriteGaugeFloat64(w, "dykering_proxy_update_age_seconds", s.updateAge().Seconds())
	for _, state := range routing.EndpointStates() {
		gauge(fmt.Sprintf("endpoints{mark=%q}", state), uint64(endpoints[state]))
	}
}
