package controlplane

import (
	"bytes"
	"testing"

	"dykering/internal/fixture"
	"dykering/internal/protocol"
)

func TestMetricsAreThoseOfThePage(t *testing.T) {
	status := protocol.Status{Members: []protocol.MemberStatus{{ID: "a/0"}}}
	var text bytes.Buffer
	writeMetrics(&text, &status)
	page := fixture.Names(t, "../../docs/FIXED.md", "Metrics of the control process")
	fixture.SameNames(t, "metrics", page, fixture.MetricNames(text.String()))
}
