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
type orderRun struct {
	placer  *placer
	order   placement.Order
	engine  *fleetconfig.Engine
	address string
	token   uint64
	state   endpointState // as it was when the order was begun
	takes   time.Duration // how long it is expected to take
	busy    bool          // requests for what it concerns are under way
	notedAt time.Duration // when the ledger has it begin
}

// begin begins an order.
func (pl *placer) begin(now time.Duration, service fleetconfig.Service, order placement.Order) {
	p := pl.process
	endpoint, ok := p.table.Get(order.Endpoint)
	if !ok || pl.underWay[order.Endpoint] != nil {
		return
	}
	run := &orderRun{placer: pl, order: order, engine: service.Engine, address: endpoint.Heartbeat.Address, token: pl.token,
		takes: duration(service.Engine, order), notedAt: now,
		busy: pl.demand.Estimate(now, placement.Key{Service: service.Name, Model: order.Model, Adapter: order.Adapter}).InFlight > 0}
	if state := pl.states[order.Endpoint]; state != nil {
		run.state = *state
	}
	pl.underWay[order.Endpoint] = &orderUnderWay{order: order, service: service.Name, ready: now + run.takes,
		until: now + run.takes + orderPatience}
	if order.Operation == placement.Load && order.Adapter == "" {
		pl.ledger.RecordStart(now)
	}
	if order.Operation == placement.Unload {
		pl.overlay(now, order.Endpoint, sessions.ModelOverride{Model: order.Model, Adapter: order.Adapter, Present: false})
	}
	p.log.Info("order.begun", "endpoint", order.Endpoint, "operation", string(order.Operation), "model", order.Model, "adapter", order.Adapter)
	go run.run()
}

// duration is how long an order is expected to take.
func duration(engine *fleetconfig.Engine, order placement.Order) time.Duration {
	if order.Operation == placement.Unload || order.Adapter != "" {
		return adapterLoad
	}
	for _, m := range engine.Models {
		if m.Name == order.Model {
			return time.Duration(m.LoadTimeS * float64(time.Second))
		}
	}
	return adapterLoad
}

// run gives the order and waits for its end.
func (r *orderRun) run() {
	p := r.placer.process
	ctx, cancel := context.WithTimeout(p.ctx, r.takes+orderPatience)
	defer cancel()
	if r.order.Operation == placement.Unload {
		time.Sleep(unloadNotice)
	}
	result := r.give(ctx)
	p.post(func() { r.placer.ended(r, result) })
}

func (r *orderRun) give(ctx context.Context) orderResult {
	p := r.placer.process
	if !r.state.known && !r.look(ctx) {
		return orderNotGiven
	}
	seen := placement.Endpoint{Models: r.state.models}
	if !seen.Fits(r.order, r.engine) {
		return orderNotGiven
	}
	if !r.permitted() {
		return orderNotGiven
	}
	status, err := r.post(ctx)
	for range conflictTries {
		if err != nil || status != http.StatusConflict || !r.pause(ctx) || !r.permitted() {
			break
		}
		status, err = r.post(ctx) // the order before this one may just be ending
	}
	switch {
	case err != nil:
		time.Sleep(r.takes + reportLag)
		return orderUnknown
	case status == http.StatusOK:
		return orderDone
	case status != http.StatusAccepted:
		p.log.Warn("order.refused", "endpoint", r.order.Endpoint, "status", status)
		return orderRefused
	}
	r.state.sequence++
	return r.await(ctx)
}

func (r *orderRun) post(ctx context.Context) (status int, err error) {
	p := r.placer.process
	return p.placer.client.order(ctx, r.address, orderBody{
		Operation: r.order.Operation, Model: r.order.Model, Adapter: r.order.Adapter, IfRevision: r.state.sequence,
		LeaseHolder: p.settings.NodeName, FencingToken: r.token,
	})
}

// pause waits before an order is given again.
func (r *orderRun) pause(ctx context.Context) bool {
	time.Sleep(conflictPause)
	return ctx.Err() == nil
}

// permitted asks whether this member still holds the role, just before an order goes out.
func (r *orderRun) permitted() bool {
	p := r.placer.process
	allowed := make(chan bool, 1)
	p.post(func() {
		token, holds := p.node.HoldsLease(p.now())
		if holds && token == r.token {
			r.begins()
		}
		allowed <- holds && token == r.token
	})
	select {
	case ok := <-allowed:
		return ok
	case <-p.ctx.Done():
		return false
	}
}

// begins notes that the order goes out now, which may be later than it was planned.
func (r *orderRun) begins() {
	if r.order.Operation != placement.Load || r.order.Adapter != "" {
		return
	}
	now := r.placer.process.now()
	r.placer.ledger.Reschedule(r.notedAt, now)
	r.notedAt = now
}

// look takes an endpoint's report for its state. It is false where none can be had or an order is under way there.
func (r *orderRun) look(ctx context.Context) bool {
	p := r.placer.process
	if wait := r.state.after - p.now(); wait > 0 {
		time.Sleep(wait)
	}
	report, err := p.placer.client.report(ctx, r.address)
	if err != nil || report.Busy {
		return false
	}
	r.state.known, r.state.sequence, r.state.models = true, report.Sequence, modelsOf(report.Models)
	return true
}

// await waits until an order that was taken is done.
func (r *orderRun) await(ctx context.Context) orderResult {
	time.Sleep(r.takes)
	if r.order.Adapter != "" || r.order.Operation == placement.Unload && !r.busy {
		return orderDone // the next order finds out where it takes longer
	}
	for ctx.Err() == nil {
		report, err := r.placer.process.placer.client.report(ctx, r.address)
		if err == nil && report.Sequence >= r.state.sequence && !report.Busy {
			return orderDone
		}
		time.Sleep(orderLook)
	}
	return orderUnknown
}

// ended takes the end of an order.
func (pl *placer) ended(r *orderRun, result orderResult) {
	now := pl.process.now()
	id := r.order.Endpoint
	if !pl.holding || pl.token != r.token {
		return
	}
	if u := pl.underWay[id]; u == nil || u.order != r.order {
		return
	}
	state := r.state
	switch result {
	case orderDone:
		seen := placement.Endpoint{Models: state.models}
		seen.Apply(r.order)
		state.models = seen.Models
		delete(pl.underWay, id)
		if r.order.Operation == placement.Load {
			pl.overlay(now, id, sessions.ModelOverride{Model: r.order.Model, Adapter: r.order.Adapter, Present: true})
		}
	default:
		state = endpointState{after: now + reportLag}
		pl.underWay[id].until = now + orderPause
		pl.clearOverlay(now, id)
	}
	pl.states[id] = &state
	pl.planAt = 0
}
