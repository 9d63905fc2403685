package controlplane

import (
	"time"

	"dykering/internal/peerlink"
	"dykering/internal/placement"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// maxDecisions bounds the orders that are kept together with the estimates that led to them.
const maxDecisions = 512

// decisionLog holds the latest orders of this lease holder, oldest first.
type decisionLog struct{ decisions []protocol.Decision }

// record appends the orders of a plan, with the replicas and the demand that the plan was based on.
func (l *decisionLog) record(now time.Duration, service string, orders []placement.Order, input *placement.Input) {
	if len(orders) == 0 {
		return
	}
	replicas := map[string]int{}
	for i := range input.Endpoints {
		for model := range input.Endpoints[i].Models {
			replicas[model]++
		}
	}
	for _, order := range orders {
		estimate := input.Demand.Estimate(now, placement.Key{Service: service, Model: order.Model})
		l.decisions = append(l.decisions, protocol.Decision{
			At: now, Service: service, Endpoint: order.Endpoint, Operation: string(order.Operation),
			Model: order.Model, Adapter: order.Adapter, For: order.FreesMemoryFor,
			Copies: replicas[order.Model], Demand: demandOf(estimate),
		})
	}
	if excess := len(l.decisions) - maxDecisions; excess > 0 {
		l.decisions = append(l.decisions[:0], l.decisions[excess:]...)
	}
}

// decisionsAbout returns the orders for a model, and the unload orders that freed memory for it.
func (l *decisionLog) decisionsAbout(model string) []protocol.Decision {
	var found []protocol.Decision
	for _, d := range l.decisions {
		if d.Model == model || d.For == model {
			found = append(found, d)
		}
	}
	return found
}

// demandOf converts an estimate to the form of an explanation.
func demandOf(estimate placement.Estimate) protocol.ModelDemand {
	return protocol.ModelDemand{
		Rate: estimate.Rate, InFlight: estimate.InFlight, Waiting: estimate.Waiting, Pressure: estimate.Pressure,
		Unplaced: estimate.Unplaced,
	}
}

// AskExplain asks the control process at an internal address for the replicas of a model, the demand for it and the
// orders that concern it.
func AskExplain(address, model string) (protocol.Explanation, error) {
	return requestReply[protocol.Explanation](address, protocol.ExplainRequest{Model: model}, "explain")
}

// serveExplain answers a protocol.ExplainRequest.
func (s *Server) serveExplain(conn *peerlink.Conn, request protocol.ExplainRequest) {
	explanation, ok := query(s, func() protocol.Explanation { return s.placement.explain(s.now(), request.Model) })
	if !ok {
		return
	}
	if err := conn.Send(explanation, statusTimeout); err != nil {
		s.log.Debug("explanation.not_sent", "error", err)
	}
}

// explain returns the replicas of a model, the demand for it and the orders that concern it. Only the lease holder
// knows the demand and the orders.
func (c *placementController) explain(now time.Duration, model string) protocol.Explanation {
	explanation := protocol.Explanation{
		Model: model, Now: now, Holds: c.holder.Lease().Held, Decisions: c.decisions.decisionsAbout(model),
	}
	services := map[string]bool{}
	for _, e := range c.server.sessions.Table().Endpoints() {
		if e.State == sessions.Departed || !e.HasLoaded(model, "") {
			continue
		}
		explanation.Copies = append(explanation.Copies, protocol.ModelReplica{Endpoint: e.ID, Zone: e.Heartbeat.Zone, State: e.State})
		services[e.Heartbeat.Service] = true
	}
	for _, decision := range explanation.Decisions {
		services[decision.Service] = true
	}
	for service := range services {
		estimate := c.demand.Estimate(now, placement.Key{Service: service, Model: model})
		explanation.Demand = append(explanation.Demand, protocol.ServiceDemand{Service: service, ModelDemand: demandOf(estimate)})
	}
	return explanation
}
