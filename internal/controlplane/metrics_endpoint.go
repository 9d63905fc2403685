package controlplane

import (
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// handleMetrics serves GET /metrics: the status of the process in the Prometheus text format.
func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	status, ok := query(s, s.status)
	if !ok {
		http.Error(w, "the process ends", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	writeMetrics(w, &status)
	s.coordination.metrics.write(w)
}

// writeMetrics writes the gauges of a status.
func writeMetrics(w io.Writer, status *protocol.Status) {
	gauge := func(name string, value uint64) { metrics.WriteGaugeUint64(w, "dykering_control_"+name, value) }
	gauge("view_number", status.View.Number)
	gauge("view_voters", uint64(len(status.View.Voters)))
	gauge("view_chain_members", uint64(len(status.View.Chain)))
	gauge("view_in_force", lo.Ternary[uint64](status.InForce, 1, 0))
	gauge("view_sealed", lo.Ternary[uint64](status.Sealed, 1, 0))
	gauge("placement_holds", lo.Ternary[uint64](status.Holds, 1, 0))
	gauge("placement_token", status.View.Token)
	gauge("log_sequence", status.Seq)
	gauge("log_committed_sequence", status.Committed)
	gauge("configuration_version", uint64(max(status.Version, 0)))
	gauge("subscribers", uint64(len(status.Subscribers)))
	gauge("subscriber_lag_max", longestLag(status.Subscribers))
	metrics.WriteGaugeFloat64(w, "dykering_control_tolerable_losses", float64(tolerableLosses(status)))
	metrics.WriteGaugeFloat64(w, "dykering_control_disk_behind_seconds", status.DiskBehind.Seconds())
	for _, state := range []sessions.State{sessions.Ready, sessions.Expired, sessions.Draining} {
		gauge(fmt.Sprintf("endpoints{state=%q}", state), uint64(status.Endpoints[state]))
	}
	writeCoordinationGauges(w, status.Coordination)
	for _, member := range status.Members {
		gauge(fmt.Sprintf("member_reachable{member=%q}", member.ID), lo.Ternary[uint64](member.Reachable, 1, 0))
	}
}

// tolerableLosses returns how many more voters the core can lose, or 0 if the status does not have this number.
func tolerableLosses(status *protocol.Status) int {
	if status.Tolerance == nil {
		return 0
	}
	return status.Tolerance.Losses
}

// longestLag returns the largest number of committed changes that a subscriber has not acknowledged.
func longestLag(subscribers []protocol.SubscriberStatus) uint64 {
	var longest uint64
	for _, subscriber := range subscribers {
		longest = max(longest, subscriber.Behind)
	}
	return longest
}
