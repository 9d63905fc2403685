package dataplane

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/routing"
)

var _ = Describe("the outcome of a request", func() {
	arrived := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	after := func(ms int) time.Time { return arrived.Add(time.Duration(ms) * time.Millisecond) }
	endedExchange := func(target, gap float64, spent map[phase]int, chunks ...int) *exchange {
		route := &fleetconfig.Route{Kind: fleetconfig.Streaming, TargetLatencyMs: target, TargetGapMs: gap, Priority: 1}
		x := &exchange{request: &request{route: route, arrivedAt: arrived}}
		for p, ms := range spent {
			x.timing.phaseDurations[p] = time.Duration(ms) * time.Millisecond
		}
		for _, ms := range chunks {
			x.timing.recordChunk(after(ms))
		}
		return x
	}
	DescribeTable("has the longest phase, the pause or the failure as its cause",
		func(x *exchange, failure *rejection, result, cause string) {
			outcome := x.outcome(failure)
			Expect([]string{outcome.result, outcome.cause}).To(Equal([]string{result, cause}))
			Expect(outcome.priority).To(Equal(1))
		},
		Entry("in time", endedExchange(400, 300, nil, 100, 300, 590), nil, resultInTime, ""),
		Entry("no targets in the route", endedExchange(0, 0, nil, 9000, 19000), nil, resultInTime, ""),
		Entry("a late start at a busy endpoint",
			endedExchange(400, 300, map[phase]int{phaseModelNotLoaded: 100, phaseFirstByte: 350}, 450), nil, resultLate, "first_answer"),
		Entry("a late start because the model was not loaded",
			endedExchange(400, 300, map[phase]int{phaseModelNotLoaded: 400, phaseFirstByte: 50}, 450), nil, resultLate, "no_copy"),
		Entry("a late start after a failed attempt",
			endedExchange(400, 300, map[phase]int{phaseFailedAttempt: 400, phaseFirstByte: 50}, 450), nil, resultLate, "earlier_try"),
		Entry("too long a pause", endedExchange(400, 300, nil, 100, 450), nil, resultLate, causePause),
		Entry("rejected because the adapter was not loaded",
			endedExchange(400, 300, map[phase]int{phaseAdapterMissing: 80}), &rejection{kind: errkind.NoEndpoint}, resultRejected, "no_adapter"),
		Entry("an endpoint that closed the connection",
			endedExchange(400, 300, nil), &rejection{kind: errkind.EndpointFailed}, resultFailed, "the endpoint broke off"),
	)

	It("is a cancellation if the client has disconnected", func() {
		x := endedExchange(400, 300, map[phase]int{phaseFirstByte: 3000})
		x.clientLeft = true
		Expect(x.outcome(nil).result).To(Equal(resultCanceled))
	})

	It("has a phase for each selection result without an endpoint", func() {
		for result, name := range map[routing.SelectionResult]string{
			routing.NoEndpoint: "no_endpoint", routing.ModelNotLoaded: "no_copy",
			routing.AdapterNotLoaded: "no_adapter", routing.NoneAvailable: "no_room",
		} {
			Expect(phaseNames[waitingPhase(result)]).To(Equal(name))
		}
	})

	It("is counted up to a bound of distinct outcomes, and written as a metric", func() {
		server := &Server{outcomes: map[requestOutcome]uint64{}, ctx: context.Background()}
		for i := range maxDistinctOutcomes + 5 {
			server.countOutcome(requestOutcome{kind: fleetconfig.Streaming, priority: i, result: resultInTime})
		}
		server.countOutcome(requestOutcome{kind: fleetconfig.Streaming, priority: 0, result: resultInTime})
		Expect(server.outcomes).To(HaveLen(maxDistinctOutcomes))
		var text strings.Builder
		writeOutcomes(&text, server.outcomes)
		Expect(text.String()).To(ContainSubstring(`dykering_proxy_requests_total{kind="streaming",priority="0",result="in_time",cause=""} 2`))
	})
})
