package controlplane

import (
	"context"
	"net/http"
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/orders"
	"dykering/internal/placement"
	"dykering/internal/sessions"
)

// The functions of this file connect orders.Machine, which decides on orders, with the event loop: they feed it events and
// execute its outputs. Each call to an endpoint runs in a goroutine that owns no state and reports to the event loop.

// startOrder starts an order of a plan, unless its endpoint has left or already has an order in flight.
func (c *placementController) startOrder(now time.Duration, service fleetconfig.Service, order placement.Order) {
	address := c.address(order.Endpoint)
	if address == "" || c.holder.Orders().HasOrder(order.Endpoint) {
		return
	}
	c.server.log.Info("order.started", "endpoint", order.Endpoint, "operation", string(order.Operation), "model", order.Model,
		"adapter", order.Adapter)
	key := placement.Key{Service: service.Name, Model: order.Model, Adapter: order.Adapter}
	c.applyOrderOutput(c.holder.Orders().Begin(now, c.lease(now), orders.Request{
		Order: order, Address: address, Engine: service.Engine, HadRequests: c.demand.Estimate(now, key).InFlight > 0,
	}))
}

// address returns the address of an endpoint, or an empty string if the endpoint has no session.
func (c *placementController) address(endpoint string) string {
	session, ok := c.server.sessions.Table().Get(endpoint)
	if !ok {
		return ""
	}
	return session.Heartbeat.Address
}

// lease returns the lease of the placement role as this member sees it. Orders may be sent only while it is held.
func (c *placementController) lease(now time.Duration) orders.Lease {
	token, holds := c.server.chain.HoldsLease(now)
	return orders.Lease{Token: token, Held: holds}
}

// advanceOrders takes the due steps of all orders, if this member still holds the lease.
func (c *placementController) advanceOrders() {
	now := c.server.now()
	if lease := c.lease(now); c.holder.MayActUnder(lease) {
		c.applyOrderOutput(c.holder.Orders().Advance(now, lease))
	}
}

// applyOrderOutput executes an output of the state machine of the orders.
func (c *placementController) applyOrderOutput(out orders.Output) {
	for _, publication := range out.Publications {
		c.publish(publication)
	}
	for _, call := range out.Reports {
		go c.callReport(call)
	}
	for _, call := range out.Orders {
		go c.callOrder(call)
	}
	for _, refusal := range out.Refusals {
		c.server.log.Warn("order.refused", "endpoint", refusal.Endpoint, "status", refusal.Status)
	}
	if out.Replan {
		c.planDue = 0
	}
	c.armOrderTimer()
}

// publish changes the overlay of an endpoint, unless another member may hold the lease.
func (c *placementController) publish(publication orders.Publication) {
	now := c.server.now()
	if !c.holder.MayActUnder(c.lease(now)) {
		return
	}
	if publication.Withdraw {
		c.clearOverrides(now, publication.Endpoint)
		return
	}
	c.addOverride(now, publication.Endpoint, publication.Override)
}

// armOrderTimer schedules a call of advanceOrders for the next due step. Ticks alone would be too far apart.
func (c *placementController) armOrderTimer() {
	if c.orderTimer != nil {
		c.orderTimer.Stop()
	}
	if due, ok := c.holder.Orders().NextDue(); ok {
		c.orderTimer = time.AfterFunc(due-c.server.now(), func() { c.server.enqueue(c.advanceOrders) })
	}
}

// callReport fetches the report of an endpoint and hands it to the event loop.
func (c *placementController) callReport(call orders.ReportCall) {
	s := c.server
	var report *orders.Report
	if fetched, err := c.client.report(s.ctx, call.Address); err == nil {
		report = &orders.Report{Models: adaptersByModel(fetched.Models), Busy: fetched.Busy, Sequence: fetched.Sequence}
	}
	s.enqueue(func() {
		now := s.now()
		c.applyOrderOutput(c.holder.Orders().ReportReceived(now, c.lease(now), call.Endpoint, call.ID, report))
	})
}

// callOrder posts an order to an endpoint and hands the answer to the event loop.
func (c *placementController) callOrder(call orders.OrderCall) {
	s := c.server
	answer := c.postOrder(s.ctx, call)
	s.enqueue(func() {
		c.applyOrderOutput(c.holder.Orders().OrderAnswered(s.now(), call.Order.Endpoint, call.ID, answer))
	})
}

// postOrder posts an order and returns the endpoint's answer.
func (c *placementController) postOrder(ctx context.Context, call orders.OrderCall) orders.Answer {
	status, err := c.client.order(ctx, call.Address, orderRequest{
		Operation: call.Order.Operation, Model: call.Order.Model, Adapter: call.Order.Adapter, IfRevision: call.IfRevision,
		LeaseHolder: c.server.settings.NodeName, FencingToken: call.Token,
	})
	if err != nil {
		return orders.Answer{Outcome: orders.Unknown}
	}
	return orders.Answer{Outcome: orderOutcome(status), Status: status}
}

// orderOutcome returns the outcome that the response status of an order stands for.
func orderOutcome(status int) orders.Outcome {
	switch status {
	case http.StatusAccepted:
		return orders.Accepted
	case http.StatusOK:
		return orders.AlreadyDone
	case http.StatusConflict:
		return orders.Conflict
	}
	return orders.Refused
}

// plannerEndpoint converts a session to the planner's form, from the endpoint's own heartbeats.
func plannerEndpoint(session *sessions.Endpoint) placement.Endpoint {
	return placement.Endpoint{
		ID: session.ID, Models: adaptersByModel(session.Heartbeat.Models), Excluded: session.State != sessions.Ready,
	}
}

// adaptersByModel converts the loaded models of an endpoint to the planner's form: the adapters by model.
func adaptersByModel(loaded []sessions.LoadedModel) map[string][]string {
	models := map[string][]string{}
	for _, model := range loaded {
		models[model.Name] = append([]string{}, model.Adapters...)
	}
	return models
}
