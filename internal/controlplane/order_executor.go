package controlplane

import (
	"context"
	"net/http"
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/placement"
)

const (
	// unloadDelay is the time between the publication that a model is unloaded and the order: proxies stop sending it
	// requests by then.
	unloadDelay = 30 * time.Millisecond
	// maxReportAge is how old an endpoint's report may be.
	maxReportAge = 300 * time.Millisecond
	// adapterLoadTime is the expected duration of loading an adapter, and of unloading anything.
	adapterLoadTime = 25 * time.Millisecond
	// completionPollInterval is the time between two reports that are fetched while an order takes longer than expected.
	completionPollInterval = 100 * time.Millisecond
	// failedOrderBackoff is how long an endpoint gets no order after one that did not end well.
	failedOrderBackoff = 300 * time.Millisecond
	// maxConflictRetries is how often an order is retried while another one is just ending at the endpoint, and
	// conflictBackoff the pause before each retry.
	maxConflictRetries = 5
	conflictBackoff    = 60 * time.Millisecond
	// orderTimeoutMargin is how much longer than expected an order may take.
	orderTimeoutMargin = 5 * time.Second
)

// orderExecutor issues one order and waits for its end, in a goroutine of its own.
type orderExecutor struct {
	controller       *placementController
	order            placement.Order
	engine           *fleetconfig.Engine
	address          string // of the endpoint
	fencingToken     uint64
	state            endpointState // of the endpoint; a copy that the executor carries on
	expectedDuration time.Duration
	hadRequests      bool          // requests for the model or adapter were in flight when the order was started
	ledgerStart      time.Duration // when the ledger has the load start; the event loop's
}

// startOrder starts an order, unless its endpoint has left or has one in flight.
func (c *placementController) startOrder(now time.Duration, service fleetconfig.Service, order placement.Order) {
	session, ok := c.server.sessionTable.Get(order.Endpoint)
	if !ok || c.inFlight[order.Endpoint] != nil {
		return
	}
	key := placement.Key{Service: service.Name, Model: order.Model, Adapter: order.Adapter}
	executor := &orderExecutor{
		controller: c, order: order, engine: service.Engine, address: session.Heartbeat.Address, fencingToken: c.fencingToken,
		expectedDuration: expectedDuration(service.Engine, order),
		hadRequests:      c.demand.Estimate(now, key).InFlight > 0,
		ledgerStart:      now,
	}
	if state := c.endpointStates[order.Endpoint]; state != nil {
		executor.state = *state
	}
	c.inFlight[order.Endpoint] = &inFlightOrder{
		order: order, expectedEnd: now + executor.expectedDuration, deadline: now + executor.expectedDuration + orderTimeoutMargin,
	}
	if loadsWeights(order) {
		c.ledger.RecordStart(now)
	}
	if order.Operation == placement.Unload {
		// Published before the order: a request that reaches the endpoint after it would find the model missing.
		c.addOverride(now, order.Endpoint, override(order))
	}
	c.server.log.Info("order.started", "endpoint", order.Endpoint, "operation", string(order.Operation), "model", order.Model,
		"adapter", order.Adapter)
	go executor.run()
}

// onOrderFinished applies the result of an order, unless the lease has changed hands since or another order has taken its
// place.
func (c *placementController) onOrderFinished(executor *orderExecutor, result orderResult) {
	now, order := c.server.now(), executor.order
	if !c.holdsLease || c.fencingToken != executor.fencingToken {
		return
	}
	inFlight := c.inFlight[order.Endpoint]
	if inFlight == nil || inFlight.order != order {
		return
	}
	state := executor.state.after(now, order, result)
	c.endpointStates[order.Endpoint] = &state
	c.planDue = 0
	if result != orderDone {
		inFlight.deadline = now + failedOrderBackoff
		c.clearOverrides(now, order.Endpoint)
		return
	}
	delete(c.inFlight, order.Endpoint)
	if order.Operation == placement.Load {
		c.addOverride(now, order.Endpoint, override(order))
	}
}

// run executes the order and hands its result to the event loop.
func (e *orderExecutor) run() {
	s := e.controller.server
	ctx, cancel := context.WithTimeout(s.ctx, e.expectedDuration+orderTimeoutMargin)
	defer cancel()
	if e.order.Operation == placement.Unload {
		time.Sleep(unloadDelay)
	}
	result := e.execute(ctx)
	s.enqueue(func() { e.controller.onOrderFinished(e, result) })
}

// execute checks that the order still fits the endpoint, issues it and waits for its end.
func (e *orderExecutor) execute(ctx context.Context) orderResult {
	if !e.state.known && !e.fetchState(ctx) {
		return orderNotSent
	}
	endpoint := placement.Endpoint{Models: e.state.models}
	if !endpoint.Fits(e.order, e.engine) || !e.confirmLease() {
		return orderNotSent
	}
	status, err := e.issue(ctx)
	switch {
	case err != nil:
		// It may have been accepted. Until it would have ended, the endpoint's reports do not say whether it was.
		time.Sleep(e.expectedDuration + maxReportAge)
		return orderUnknown
	case status == http.StatusOK:
		return orderDone
	case status != http.StatusAccepted:
		e.controller.server.log.Warn("order.refused", "endpoint", e.order.Endpoint, "status", status)
		return orderRefused
	}
	e.state.sequence++
	return e.awaitCompletion(ctx)
}

// issue posts the order, with retries while the order before it is just ending. The lease is confirmed before each.
func (e *orderExecutor) issue(ctx context.Context) (status int, err error) {
	status, err = e.post(ctx)
	for range maxConflictRetries {
		if err != nil || status != http.StatusConflict || !e.backOff(ctx) || !e.confirmLease() {
			break
		}
		status, err = e.post(ctx)
	}
	return status, err
}

func (e *orderExecutor) post(ctx context.Context) (status int, err error) {
	return e.controller.client.order(ctx, e.address, orderRequest{
		Operation: e.order.Operation, Model: e.order.Model, Adapter: e.order.Adapter, IfRevision: e.state.sequence,
		LeaseHolder: e.controller.server.settings.NodeName, FencingToken: e.fencingToken,
	})
}

// backOff pauses before a retry. It reports false where the order's time is over.
func (e *orderExecutor) backOff(ctx context.Context) bool {
	time.Sleep(conflictBackoff)
	return ctx.Err() == nil
}

// confirmLease reports whether this member still holds the lease that the order was made under. It is asked just before an
// order goes out: a new holder may act by the time that the lease has expired and a request in flight has ended.
func (e *orderExecutor) confirmLease() bool {
	s := e.controller.server
	confirmed, ok := query(s, func() bool {
		token, holds := s.chain.HoldsLease(s.now())
		if !holds || token != e.fencingToken {
			return false
		}
		e.rescheduleLoad()
		return true
	})
	return ok && confirmed
}

// rescheduleLoad has the ledger count the load from now, as it may go out later than planned: the origin's rate holds for
// when loads take place. The event loop calls it.
func (e *orderExecutor) rescheduleLoad() {
	if !loadsWeights(e.order) {
		return
	}
	now := e.controller.server.now()
	e.controller.ledger.Reschedule(e.ledgerStart, now)
	e.ledgerStart = now
}

// fetchState fetches the endpoint's report. It reports false where there is none or an order is in flight at the endpoint.
func (e *orderExecutor) fetchState(ctx context.Context) bool {
	if wait := e.state.notBefore - e.controller.server.now(); wait > 0 {
		time.Sleep(wait)
	}
	report, err := e.controller.client.report(ctx, e.address)
	if err != nil || report.Busy {
		return false
	}
	e.state.known, e.state.sequence, e.state.models = true, report.Sequence, adaptersByModel(report.Models)
	return true
}

// awaitCompletion waits until an accepted order is done. An order that is short as a rule is not asked after: where it takes
// longer, the next order to the endpoint meets a conflict and is retried.
func (e *orderExecutor) awaitCompletion(ctx context.Context) orderResult {
	time.Sleep(e.expectedDuration)
	if e.order.Adapter != "" || e.order.Operation == placement.Unload && !e.hadRequests {
		return orderDone
	}
	for ctx.Err() == nil {
		report, err := e.controller.client.report(ctx, e.address)
		if err == nil && report.Sequence >= e.state.sequence && !report.Busy {
			return orderDone
		}
		time.Sleep(completionPollInterval)
	}
	return orderUnknown
}
