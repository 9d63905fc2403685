package controlplane

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/chain"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

var _ = Describe("metrics", func() {
	It("have the view, the log, the endpoints and the lag of the slowest subscriber", func() {
		status := protocol.Status{
			View:    chain.View{Number: 4, Token: 2, Voters: make([]chain.Member, 3), Chain: make([]chain.MemberID, 2)},
			InForce: true, Tolerance: &protocol.Tolerance{Losses: -1}, Seq: 9, Committed: 8, Version: 7, DiskBehind: 250 * time.Millisecond,
			Endpoints:   map[sessions.State]int{sessions.Ready: 12, sessions.Draining: 1},
			Subscribers: []protocol.SubscriberStatus{{Behind: 1}, {Behind: 3}},
			Members:     []protocol.MemberStatus{{ID: "a/0", Reachable: true}},
		}
		var text bytes.Buffer
		writeMetrics(&text, &status)
		for _, line := range []string{
			"dykering_control_view_number 4", "dykering_control_view_voters 3", "dykering_control_view_chain_members 2",
			"dykering_control_view_in_force 1", "dykering_control_view_sealed 0", "dykering_control_placement_token 2",
			"dykering_control_log_sequence 9", "dykering_control_log_committed_sequence 8", "dykering_control_configuration_version 7",
			"dykering_control_subscriber_lag_max 3", "dykering_control_tolerable_losses -1", "dykering_control_disk_behind_seconds 0.25",
			`dykering_control_endpoints{state="ready"} 12`, `dykering_control_endpoints{state="silent"} 0`,
			`dykering_control_member_reachable{member="a/0"} 1`,
		} {
			Expect(text.String()).To(ContainSubstring(line + "\n"))
		}
	})
})
