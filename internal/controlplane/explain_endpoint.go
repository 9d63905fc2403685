package controlplane

import (
	"time"

	"github.com/pkg/errors"

	"dykering/internal/peerlink"
	"dykering/internal/placement"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// mostDecisions bounds the orders that are remembered with the figures they were given by.
const maxDecisions = 512

// decisionLog is the last orders of a holder of the placement, the oldest first.
type decisionLog struct{ decisions []protocol.Decision }

// note remembers the orders of a plan, with the copies and the demand that the plan went by.
func (l *decisionLog) record(now time.Duration, service string, orders []placement.Order, input *placement.Input) {
	if len(orders) == 0 {
		return
	}
	copies := map[string]int{}
	for i := range input.Endpoints {
		for model := range input.Endpoints[i].Models {
			copies[model]++
		}
	}
	for _, order := range orders {
		need := input.Demand.Estimate(now, placement.Key{Service: service, Model: order.Model})
		l.decisions = append(l.decisions, protocol.Decision{At: now, Service: service, Endpoint: order.Endpoint, Operation: string(order.Operation),
			Model: order.Model, Adapter: order.Adapter, For: order.FreesMemoryFor, Copies: copies[order.Model], Demand: demandOf(need)})
	}
	if beyond := len(l.decisions) - maxDecisions; beyond > 0 {
		l.decisions = append(l.decisions[:0], l.decisions[beyond:]...)
	}
}

// about are the remembered orders for a model, and those that made room for it.
func (l *decisionLog) about(model string) []protocol.Decision {
	var found []protocol.Decision
	for _, d := range l.decisions {
		if d.Model == model || d.For == model {
			found = append(found, d)
		}
	}
	return found
}

func demandOf(need placement.Estimate) protocol.ModelDemand {
	return protocol.ModelDemand{Rate: need.Rate, InFlight: need.InFlight, Waiting: need.Waiting, Pressure: need.Pressure, Unplaced: need.Unplaced}
}

// AskExplain asks the control sidecar at an internal address why a model stands where it does.
func AskExplain(address, model string) (protocol.Explanation, error) {
	conn, err := peerlink.Dial(address, statusTimeout)
	if err != nil {
		return protocol.Explanation{}, errors.Wrap(err, "explain")
	}
	defer conn.Close()
	if err := conn.Send(protocol.ExplainRequest{Model: model}, statusTimeout); err != nil {
		return protocol.Explanation{}, errors.Wrap(err, "explain")
	}
	message, err := conn.Receive(statusTimeout)
	if err != nil {
		return protocol.Explanation{}, errors.Wrap(err, "explain")
	}
	explanation, ok := message.(protocol.Explanation)
	if !ok {
		return protocol.Explanation{}, errors.Errorf("explain: %s answers with a %T", address, message)
	}
	return explanation, nil
}

// serveExplain answers one call for an explanation.
func (s *Server) serveExplain(conn *peerlink.Conn, ask protocol.ExplainRequest) {
	told := make(chan protocol.Explanation, 1)
	s.enqueue(func() { told <- s.placement.explain(s.now(), ask.Model) })
	select {
	case explanation := <-told:
		if err := conn.Send(explanation, statusTimeout); err != nil {
			s.log.Debug("explanation.not_sent", "error", err)
		}
	case <-s.ctx.Done():
	}
}

// explain tells where a model stands, what is asked for, and which orders have concerned it. Only the holder of the placement
// knows the demand and its orders.
func (c *placementController) explain(now time.Duration, model string) protocol.Explanation {
	explanation := protocol.Explanation{Model: model, Now: now, Holds: c.holdsLease, Decisions: c.decisions.about(model)}
	services := map[string]bool{}
	for _, e := range c.server.table.Endpoints() {
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
		need := c.demand.Estimate(now, placement.Key{Service: service, Model: model})
		explanation.Demand = append(explanation.Demand, protocol.ServiceDemand{Service: service, ModelDemand: demandOf(need)})
	}
	return explanation
}
