package controlplane

import (
	"bytes"
	"testing"
	"time"

	"dykering/internal/fixture"
	"dykering/internal/protocol"
)

// TestMetricsMatchDocumentation checks that the documentation page lists exactly the metrics that the control process
// exposes.
func TestMetricsMatchDocumentation(t *testing.T) {
	status := protocol.Status{Members: []protocol.MemberStatus{{ID: "a/0"}}, Coordination: &protocol.CoordinationStatus{}}
	var text bytes.Buffer
	writeMetrics(&text, &status)
	collector := newCoordinationMetrics()
	collector.record("begin", outcomeOK, time.Millisecond)
	collector.write(&text)
	page := fixture.Names(t, "../../docs/FIXED.md", "Metrics of the control process")
	fixture.SameNames(t, "metrics", page, fixture.MetricNames(text.String()))
}
