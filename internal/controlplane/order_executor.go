package controlplane

import (
	"context"
	"net/http"
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/placement"
	"dykering/internal/sessions"
)

// orderRun is an order on its way.
type orderExecutor struct {
	controller       *placementController
	order            placement.Order
	engine           *fleetconfig.Engine
	address          string
	fencingToken     uint64
	state            endpointState // as it was when the order was begun
	expectedDuration time.Duration // how long it is expected to take
	hadRequests      bool          // requests for what it concerns are under way
	ledgerStart      time.Duration // when the ledger has it begin
}

// begin begins an order.
func (c *placementController) startOrder(now time.Duration, service fleetconfig.Service, order placement.Order) {
	s := c.server
	endpoint, ok := s.table.Get(order.Endpoint)
	if !ok || c.inFlight[order.Endpoint] != nil {
		return
	}
	run := &orderExecutor{controller: c, order: order, engine: service.Engine, address: endpoint.Heartbeat.Address, fencingToken: c.fencingToken,
		expectedDuration: expectedDuration(service.Engine, order), ledgerStart: now,
		hadRequests: c.demand.Estimate(now, placement.Key{Service: service.Name, Model: order.Model, Adapter: order.Adapter}).InFlight > 0}
	if state := c.endpointStates[order.Endpoint]; state != nil {
		run.state = *state
	}
	c.inFlight[order.Endpoint] = &inFlightOrder{order: order, service: service.Name, expectedEnd: now + run.expectedDuration,
		deadline: now + run.expectedDuration + orderTimeoutMargin}
	if order.Operation == placement.Load && order.Adapter == "" {
		c.ledger.RecordStart(now)
	}
	if order.Operation == placement.Unload {
		c.addOverride(now, order.Endpoint, sessions.ModelOverride{Model: order.Model, Adapter: order.Adapter, Present: false})
	}
	s.log.Info("order.begun", "endpoint", order.Endpoint, "operation", string(order.Operation), "model", order.Model, "adapter", order.Adapter)
	go run.run()
}

// duration is how long an order is expected to take.
func expectedDuration(engine *fleetconfig.Engine, order placement.Order) time.Duration {
	if order.Operation == placement.Unload || order.Adapter != "" {
		return adapterLoadTime
	}
	for _, m := range engine.Models {
		if m.Name == order.Model {
			return time.Duration(m.LoadTimeS * float64(time.Second))
		}
	}
	return adapterLoadTime
}

// run gives the order and waits for its end.
func (e *orderExecutor) run() {
	s := e.controller.server
	ctx, cancel := context.WithTimeout(s.ctx, e.expectedDuration+orderTimeoutMargin)
	defer cancel()
	if e.order.Operation == placement.Unload {
		time.Sleep(unloadDelay)
	}
	result := e.issue(ctx)
	s.enqueue(func() { e.controller.onOrderFinished(e, result) })
}

func (e *orderExecutor) issue(ctx context.Context) orderResult {
	s := e.controller.server
	if !e.state.known && !e.fetchState(ctx) {
		return orderNotSent
	}
	seen := placement.Endpoint{Models: e.state.models}
	if !seen.Fits(e.order, e.engine) {
		return orderNotSent
	}
	if !e.confirmLease() {
		return orderNotSent
	}
	status, err := e.post(ctx)
	for range maxConflictRetries {
		if err != nil || status != http.StatusConflict || !e.backOff(ctx) || !e.confirmLease() {
			break
		}
		status, err = e.post(ctx) // the order before this one may just be ending
	}
	switch {
	case err != nil:
		time.Sleep(e.expectedDuration + maxReportAge)
		return orderUnknown
	case status == http.StatusOK:
		return orderDone
	case status != http.StatusAccepted:
		s.log.Warn("order.refused", "endpoint", e.order.Endpoint, "status", status)
		return orderRefused
	}
	e.state.sequence++
	return e.awaitCompletion(ctx)
}

func (e *orderExecutor) post(ctx context.Context) (status int, err error) {
	s := e.controller.server
	return s.placement.client.order(ctx, e.address, orderRequest{
		Operation: e.order.Operation, Model: e.order.Model, Adapter: e.order.Adapter, IfRevision: e.state.sequence,
		LeaseHolder: s.settings.NodeName, FencingToken: e.fencingToken,
	})
}

// pause waits before an order is given again.
func (e *orderExecutor) backOff(ctx context.Context) bool {
	time.Sleep(conflictBackoff)
	return ctx.Err() == nil
}

// permitted asks whether this member still holds the role, just before an order goes out.
func (e *orderExecutor) confirmLease() bool {
	s := e.controller.server
	allowed := make(chan bool, 1)
	s.enqueue(func() {
		token, holds := s.chain.HoldsLease(s.now())
		if holds && token == e.fencingToken {
			e.restampLedger()
		}
		allowed <- holds && token == e.fencingToken
	})
	select {
	case ok := <-allowed:
		return ok
	case <-s.ctx.Done():
		return false
	}
}

// begins notes that the order goes out now, which may be later than it was planned.
func (e *orderExecutor) restampLedger() {
	if e.order.Operation != placement.Load || e.order.Adapter != "" {
		return
	}
	now := e.controller.server.now()
	e.controller.ledger.Reschedule(e.ledgerStart, now)
	e.ledgerStart = now
}

// look takes an endpoint's report for its state. It is false where none can be had or an order is under way there.
func (e *orderExecutor) fetchState(ctx context.Context) bool {
	s := e.controller.server
	if wait := e.state.notBefore - s.now(); wait > 0 {
		time.Sleep(wait)
	}
	report, err := s.placement.client.report(ctx, e.address)
	if err != nil || report.Busy {
		return false
	}
	e.state.known, e.state.sequence, e.state.models = true, report.Sequence, modelsOf(report.Models)
	return true
}

// await waits until an order that was taken is done.
func (e *orderExecutor) awaitCompletion(ctx context.Context) orderResult {
	time.Sleep(e.expectedDuration)
	if e.order.Adapter != "" || e.order.Operation == placement.Unload && !e.hadRequests {
		return orderDone // the next order finds out where it takes longer
	}
	for ctx.Err() == nil {
		report, err := e.controller.server.placement.client.report(ctx, e.address)
		if err == nil && report.Sequence >= e.state.sequence && !report.Busy {
			return orderDone
		}
		time.Sleep(completionPollInterval)
	}
	return orderUnknown
}

// ended takes the end of an order.
func (c *placementController) onOrderFinished(r *orderExecutor, result orderResult) {
	now := c.server.now()
	id := r.order.Endpoint
	if !c.holdsLease || c.fencingToken != r.fencingToken {
		return
	}
	if u := c.inFlight[id]; u == nil || u.order != r.order {
		return
	}
	state := r.state
	switch result {
	case orderDone:
		seen := placement.Endpoint{Models: state.models}
		seen.Apply(r.order)
		state.models = seen.Models
		delete(c.inFlight, id)
		if r.order.Operation == placement.Load {
			c.addOverride(now, id, sessions.ModelOverride{Model: r.order.Model, Adapter: r.order.Adapter, Present: true})
		}
	default:
		state = endpointState{notBefore: now + maxReportAge}
		c.inFlight[id].deadline = now + failedOrderBackoff
		c.clearOverrides(now, id)
	}
	c.endpointStates[id] = &state
	c.planDue = 0
}
