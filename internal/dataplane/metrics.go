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

// health is the handler of the readiness address: metrics under /metrics, readiness under all other paths.
func (p *Process) health() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", p.serveReadiness)
	mux.HandleFunc("GET /metrics", p.handleMetrics)
	mux.HandleFunc("GET /explain", p.handleExplain)
	return mux
}

// handleMetrics tells the process's state as text, in the exposition format of Prometheus.
func (p *Process) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	marks := ask(p, p.pool.CountByState)
	endings := ask(p, func() map[ending]uint64 { return maps.Clone(p.endings) })
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	p.writeMetrics(w, marks)
	writeEndings(w, endings)
}

// count counts how a request ended.
func (p *Process) count(end ending) {
	if _, known := p.endings[end]; known || len(p.endings) < mostEndings {
		p.endings[end]++
	}
}

// writeEndings tells how requests ended, by kind and priority of their routes, result and cause.
func writeEndings(w io.Writer, endings map[ending]uint64) {
	for end, count := range endings {
		name := fmt.Sprintf("dykering_proxy_requests_total{kind=%q,priority=\"%d\",result=%q,cause=%q}", end.kind, end.priority, end.result, end.cause)
		metrics.WriteCounterUint64(w, name, count)
	}
}

func (p *Process) writeMetrics(w io.Writer, marks map[routing.EndpointState]int) {
	gauge := func(name string, value uint64) { metrics.WriteGaugeUint64(w, "dykering_proxy_"+name, value) }
	gauge("requests_under_way", uint64(max(p.underWay.Load(), 0)))
	gauge("body_memory_left_bytes", uint64(max(p.memory.Bodies.Available(), 0)))
	gauge("stopping", lo.Ternary[uint64](p.stopping(), 1, 0))
	config := p.config.Load()
	gauge("ready", lo.Ternary[uint64](config != nil && !p.stopping(), 1, 0))
	if config != nil {
		gauge("configuration_version", uint64(max(config.parsed.Version, 0)))
	}
	for _, mark := range routing.EndpointStates() {
		gauge(fmt.Sprintf("endpoints{mark=%q}", mark), uint64(marks[mark]))
	}
}
