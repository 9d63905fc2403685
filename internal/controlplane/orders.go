package controlplane

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"dykering/internal/fleetconfig"
	"dykering/internal/placement"
	"dykering/internal/sessions"
)

const (
	orderTimeout = 500 * time.Millisecond
	// reportLag is how old an endpoint's report may be.
	reportLag = 300 * time.Millisecond
	// adapterLoad is how long an adapter takes to load, and unloadWait how often the end of an order is looked for.
	adapterLoad = 25 * time.Millisecond
	orderLook   = 100 * time.Millisecond
	// orderPause is how long an endpoint is left alone after an order that it did not take.
	orderPause = 300 * time.Millisecond
	// conflictTries is how often an order is given again that another one stands in the way of.
	conflictTries = 5
	conflictPause = 60 * time.Millisecond
	// orderPatience is how much longer than expected an order may take.
	orderPatience = 5 * time.Second
)

// endpointReport is what an endpoint tells on GET /report.
type endpointReport struct {
	Models   []sessions.LoadedModel `json:"models"`
	Busy     bool                   `json:"busy"`
	Sequence uint64                 `json:"sequence"`
}

// orderBody is the body of POST /order.
type orderBody struct {
	Operation    placement.Operation `json:"operation"`
	Model        string              `json:"model"`
	Adapter      string              `json:"adapter,omitempty"`
	IfRevision   uint64              `json:"if_revision"`
	LeaseHolder  string              `json:"lease_holder"`
	FencingToken uint64              `json:"fencing_token"`
}

// orderClient calls endpoints.
type orderClient struct{ http *http.Client }

func newOrderClient() *orderClient {
	return &orderClient{http: &http.Client{Timeout: orderTimeout,
		Transport: &http.Transport{DialContext: dialAbortive, MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * time.Second}}}
}

// dialAbortive makes a connection that is reset when it is closed: an order that was given up is not delivered late.
func dialAbortive(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return nil, errors.Wrap(err, "linger")
		}
	}
	return conn, nil
}

// report asks an endpoint what it holds.
func (c *orderClient) report(ctx context.Context, address string) (endpointReport, error) {
	request, err := sling.New().Get("http://" + address + "/report").Request()
	if err != nil {
		return endpointReport{}, errors.Wrap(err, "report")
	}
	var report endpointReport
	response, err := sling.New().Client(c.http).Do(request.WithContext(ctx), &report, nil)
	if err != nil {
		return endpointReport{}, errors.Wrap(err, "report")
	}
	if response.StatusCode != http.StatusOK {
		return endpointReport{}, errors.Errorf("report: status %d", response.StatusCode)
	}
	return report, nil
}

// order gives an endpoint an order, and tells the status of the answer.
func (c *orderClient) order(ctx context.Context, address string, body orderBody) (status int, err error) {
	request, err := sling.New().Post("http://" + address + "/order").BodyJSON(body).Request()
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// orderResult is how an order ended.
type orderResult int

const (
	orderDone     orderResult = iota
	orderRefused              // it was not taken
	orderNotGiven             // it was not sent
	orderUnknown              // it may have been taken
)

// endpointState is what the holder knows an endpoint to hold: its report, and the orders that it has taken since.
type endpointState struct {
	known    bool
	sequence uint64
	models   map[string][]string
	after    time.Duration // a report from before this time does not count
}

func modelsOf(loaded []sessions.LoadedModel) map[string][]string {
	models := map[string][]string{}
	for _, m := range loaded {
		models[m.Name] = append([]string{}, m.Adapters...)
	}
	return models
}

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
}

// begin begins an order.
func (pl *placer) begin(now time.Duration, service fleetconfig.Service, order placement.Order) {
	p := pl.process
	endpoint, ok := p.table.Get(order.Endpoint)
	if !ok || pl.underWay[order.Endpoint] != nil {
		return
	}
	run := &orderRun{placer: pl, order: order, engine: service.Engine, address: endpoint.Heartbeat.Address, token: pl.token,
		takes: duration(service.Engine, order),
		busy:  pl.demand.Need(now, placement.Key{Service: service.Name, Model: order.Model, Adapter: order.Adapter}).InFlight > 0}
	if state := pl.states[order.Endpoint]; state != nil {
		run.state = *state
	}
	pl.underWay[order.Endpoint] = &orderUnderWay{order: order, service: service.Name, until: now + run.takes + orderPatience}
	if order.Operation == placement.Loading && order.Adapter == "" {
		pl.ledger.Begin(now)
	}
	if order.Operation == placement.Unloading {
		pl.overlay(now, order.Endpoint, sessions.Holding{Model: order.Model, Adapter: order.Adapter, Present: false})
	}
	p.log.Info("order.begun", "endpoint", order.Endpoint, "operation", string(order.Operation), "model", order.Model, "adapter", order.Adapter)
	go run.run()
}

// duration is how long an order is expected to take.
func duration(engine *fleetconfig.Engine, order placement.Order) time.Duration {
	if order.Operation == placement.Unloading || order.Adapter != "" {
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
	if r.order.Operation == placement.Unloading {
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
		token, holds := p.node.Holds(p.now())
		allowed <- holds && token == r.token
	})
	select {
	case ok := <-allowed:
		return ok
	case <-p.ctx.Done():
		return false
	}
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
	if r.order.Adapter != "" || r.order.Operation == placement.Unloading && !r.busy {
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
		if r.order.Operation == placement.Loading {
			pl.overlay(now, id, sessions.Holding{Model: r.order.Model, Adapter: r.order.Adapter, Present: true})
		}
	default:
		state = endpointState{after: now + reportLag}
		pl.underWay[id].until = now + orderPause
		pl.clearOverlay(now, id)
	}
	pl.states[id] = &state
	pl.planAt = 0
}

// overlay tells all sidecars what an order has made of an endpoint.
func (pl *placer) overlay(now time.Duration, id string, holding sessions.Holding) {
	known := pl.overlays[id]
	holdings := []sessions.Holding{holding}
	for _, h := range known.holdings {
		if h.Model != holding.Model || h.Adapter != holding.Adapter {
			holdings = append(holdings, h)
		}
	}
	pl.setOverlay(now, id, holdings)
}

func (pl *placer) setOverlay(now time.Duration, id string, holdings []sessions.Holding) {
	pl.counter++
	version := pl.token<<32 | pl.counter
	pl.overlays[id] = overlay{holdings: holdings, setAt: now}
	pl.process.table.SetOverlay(pl.process.sessionClock, id, sessions.Overlay{Version: version, Holdings: holdings})
}

func (pl *placer) clearOverlay(now time.Duration, id string) { pl.setOverlay(now, id, nil) }

// retireOverlays ends overlays that the endpoints' own heartbeats have caught up with, also those of a predecessor.
func (pl *placer) retireOverlays(now time.Duration) {
	keep := overlayBeats*pl.process.settings.HeartbeatInterval() + reportLag
	for id, o := range pl.overlays {
		if now-o.setAt > keep && pl.underWay[id] == nil {
			if len(o.holdings) > 0 {
				pl.clearOverlay(now, id)
			}
			delete(pl.overlays, id)
		}
	}
	for _, e := range pl.process.table.Since(0) {
		if _, own := pl.overlays[e.ID]; !own && len(e.Overlay.Holdings) > 0 {
			pl.overlays[e.ID] = overlay{holdings: e.Overlay.Holdings, setAt: now}
		}
	}
	for id := range pl.states {
		if _, ok := pl.process.table.Get(id); !ok {
			delete(pl.states, id)
		}
	}
}
