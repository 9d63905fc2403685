package controlplane

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dykering/internal/corestate"
	"dykering/internal/errkind"
	"dykering/internal/protocol"
)

const (
	// coordinationMetricPrefix is the prefix of the names of the service's metrics.
	coordinationMetricPrefix = "dykering_control_coordination_"
	// outcomeOK is the outcome of a successful call. The outcome of a failed call is the name of its errkind.Kind.
	outcomeOK = "ok"
)

// callSecondsBounds are the upper bounds of the buckets of the call duration histogram. Watches wait for up to
// maxWatchWait.
var callSecondsBounds = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10, 60}

// coordinationMetrics counts and times the calls of the coordination service at this process, by operation and outcome.
// It is safe for concurrent use.
type coordinationMetrics struct{ set *metrics.Set }

func newCoordinationMetrics() *coordinationMetrics {
	return &coordinationMetrics{set: metrics.NewSet()}
}

// outcomeWriter is a ResponseWriter that records the outcome of the call.
type outcomeWriter struct {
	http.ResponseWriter
	outcome string
}

// recordOutcome records the kind of a call's error for its metrics. It has no effect on other types than
// *outcomeWriter.
func recordOutcome(w http.ResponseWriter, err error) {
	if writer, ok := w.(*outcomeWriter); ok {
		writer.outcome = errkind.KindOf(err).Name()
	}
}

// measure wraps a handler to count and time the calls of an operation.
func (m *coordinationMetrics) measure(operation string, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		writer := &outcomeWriter{ResponseWriter: w, outcome: outcomeOK}
		handler(writer, r)
		m.record(operation, writer.outcome, time.Since(start))
	}
}

func (m *coordinationMetrics) record(operation, outcome string, elapsed time.Duration) {
	labels := fmt.Sprintf("{operation=%q,outcome=%q}", operation, outcome)
	m.set.GetOrCreateCounter(coordinationMetricPrefix + "calls_total" + labels).Inc()
	name := coordinationMetricPrefix + "call_seconds" + labels
	m.set.GetOrCreatePrometheusHistogramExt(name, callSecondsBounds).Update(elapsed.Seconds())
}

// write writes the metrics in the Prometheus text format.
func (m *coordinationMetrics) write(w io.Writer) { m.set.WritePrometheus(w) }

// writeCoordinationGauges writes the sizes of the service's tables. It writes nothing if status is nil, as in the
// status of an earlier version.
func writeCoordinationGauges(w io.Writer, status *protocol.CoordinationStatus) {
	if status == nil {
		return
	}
	gauge := func(name string, value int) {
		metrics.WriteGaugeUint64(w, coordinationMetricPrefix+name, uint64(max(value, 0)))
	}
	gauge("locks", status.Locks)
	gauge("numbers", status.Numbers)
	gauge("cells", status.Cells)
	gauge("groups", status.Groups)
	gauge("events", status.Events)
	gauge("state_bytes", status.Bytes)
	gauge("watches", status.Watches)
}

// status returns the sizes of the tables in the committed state, and the number of watches that wait at this member.
func (c *coordinationService) status() *protocol.CoordinationStatus {
	table := corestate.Coordination(c.server.chain.CommittedState().Value)
	counts := table.Counts()
	return &protocol.CoordinationStatus{
		Locks:   counts.Locks,
		Numbers: counts.Numbers,
		Cells:   counts.Cells,
		Groups:  counts.Groups,
		Events:  counts.Events,
		Bytes:   table.Bytes(),
		Watches: c.watches.Len(),
	}
}
