package coresim

import (
	"math/rand/v2"
	"time"

	"dykering/internal/chain"
	"dykering/internal/orders"
	"dykering/internal/placement"
	"dykering/internal/protocol"
)

// Times of the placement in the simulated processes. They are those of internal/controlplane.
const (
	planInterval = 250 * time.Millisecond
	// samplesPerPlan is the number of demand samples between two plans.
	samplesPerPlan = 6
	ledgerInterval = 200 * time.Millisecond
	// orderTimeout bounds a call to an endpoint.
	orderTimeout = 500 * time.Millisecond
)

// Faults of the calls to endpoints. Each value n means that one in n calls has the fault.
const (
	slowCallFraction       = 10 // a slow call takes up to orderTimeout
	lostRequestFraction    = 40
	lostResponseFraction   = 30
	unplacedReportFraction = 2 // one in n samples of demand reports an unplaced request
)

// placementTable contains the emulated endpoints of the placement and the checker of the orders that they receive.
type placementTable struct {
	sim       *Simulation
	random    *rand.Rand // a separate stream, so that the placement does not change the core's schedules
	endpoints []*endpoint
	checker   *ordersChecker
}

func newPlacementTable(sim *Simulation) *placementTable {
	p := &placementTable{sim: sim, random: rand.New(rand.NewPCG(sim.options.Seed, 5)), checker: newOrdersChecker()}
	sim.placement = p
	for i := range endpointCount {
		p.endpoints = append(p.endpoints, newEndpoint(sim, i))
	}
	return p
}

func (p *placementTable) endpoint(id string) *endpoint {
	for _, e := range p.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}

// placer is the placement of one process. It drives the program's own state machines (packages orders and placement) in the
// way that internal/controlplane does.
type placer struct {
	m           *machine
	table       *placementTable
	incarnation int
	holder      *orders.Holder
	demand      *placement.Demand
	planDue     time.Duration
	ledgerDue   time.Duration
	// staleLease is the last lease that the process held. The flaw OrderWithoutLease uses it.
	staleLease orders.Lease
}

// startPlacer starts the placement of a process.
func (m *machine) startPlacer() {
	if m.sim.placement == nil {
		return
	}
	m.placer = &placer{
		m: m, table: m.sim.placement, incarnation: m.incarnation, demand: placement.NewDemand(),
		holder: orders.NewHolder(orders.HolderConfig{Window: ceilingWindow, Overshoot: ceilingOvershoot, LeaseDuration: chainLeaseDuration}),
	}
}

// lease returns the lease that the process may act under now.
func (p *placer) lease() orders.Lease {
	token, holds := p.m.node.HoldsLease(p.m.sim.now)
	lease := orders.Lease{Token: token, Held: holds}
	if holds {
		p.staleLease = lease
	}
	if p.m.sim.options.Flaw == OrderWithoutLease && p.staleLease.Held {
		return p.staleLease
	}
	return lease
}

// tick follows changes of the lease and, while the process holds it, sends the ledger to the peers and plans.
func (p *placer) tick() {
	now := p.m.sim.now
	p.holder.UpdateLease(now, p.lease(), p.takeover)
	if !p.holder.Lease().Held {
		return
	}
	p.carryOut(p.holder.Orders().Advance(now, p.lease()))
	if now >= p.ledgerDue {
		p.ledgerDue = now + ledgerInterval
		p.broadcast(p.holder.Sync(now))
	}
	if now >= p.planDue {
		p.planDue = now + planInterval
		p.plan(now)
	}
}

// takeover returns the information that the holder needs when it takes over the lease.
func (p *placer) takeover() orders.Takeover {
	takeover := orders.Takeover{
		AgreedAt: p.m.node.LeaseHolderSince(), IsFirst: p.m.incarnation == 1 && !p.m.isReplacement,
		Address: func(id string) string { return id },
	}
	if p.m.sim.options.Flaw != ForgetLedger {
		takeover.LoadsPerS = []float64{loadsPerSecond}
	}
	return takeover
}

// broadcast sends the holder's ledger to the other voters.
func (p *placer) broadcast(sync protocol.LoadLedgerSync) {
	for _, voter := range p.m.node.View().Voters {
		if voter.Address != p.m.address {
			p.m.sim.send(p.m, chain.Envelope{To: voter.Address, Message: sync})
		}
	}
}

// receiveSync handles the ledger that the lease holder has sent.
func (p *placer) receiveSync(sync protocol.LoadLedgerSync) {
	if p.m.sim.options.Flaw == ForgetLedger {
		sync.Ages = nil
	}
	p.holder.ReceiveSync(p.m.sim.now, sync)
}

// plan generates demand as proxies report it, makes a plan and starts its orders.
func (p *placer) plan(now time.Duration) {
	p.reportDemand(now)
	engine := engine()
	// The plan does not subtract the loads in progress: it would then seldom reach the limit that the ledger enforces.
	input := placement.Input{
		Service: serviceName, Engine: engine, Demand: p.demand, Endpoints: p.plannerEndpoints(),
		MaxLoads: p.holder.AvailableLoads(now, loadsPerSecond),
	}
	for _, order := range placement.Plan(now, input) {
		p.carryOut(p.holder.Orders().Begin(now, p.lease(), orders.Request{
			Order: order, Address: order.Endpoint, Engine: engine, HadRequests: p.table.random.IntN(2) == 0,
		}))
	}
}

func (p *placer) plannerEndpoints() []placement.Endpoint {
	var endpoints []placement.Endpoint
	for _, e := range p.table.endpoints {
		endpoint := placement.Endpoint{ID: e.id, Models: e.heartbeat}
		p.holder.Orders().CompleteEndpoint(&endpoint)
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// reportDemand generates a demand report with requests for some random models.
func (p *placer) reportDemand(now time.Duration) {
	random := p.table.random
	var samples []placement.Sample
	for range samplesPerPlan {
		sample := placement.Sample{
			Key:      placement.Key{Service: serviceName, Model: modelName(random.IntN(modelCount))},
			Requests: random.IntN(4), InFlight: random.IntN(40), Waiting: random.IntN(6),
		}
		if random.IntN(unplacedReportFraction) == 0 {
			sample.Unplaced = 1
		}
		samples = append(samples, sample)
	}
	p.demand.Report(now, "proxy", samples)
	p.demand.Expire(now)
}

// carryOut makes the calls of an output and schedules the next step of the orders.
func (p *placer) carryOut(out orders.Output) {
	for _, call := range out.Reports {
		p.call(func() orders.Report { return p.table.endpoint(call.Endpoint).report(p.table.random) },
			func(report *orders.Report) {
				p.carryOut(p.holder.Orders().ReportReceived(p.m.sim.now, p.lease(), call.Endpoint, call.ID, report))
			})
	}
	for _, call := range out.Orders {
		p.post(call)
	}
	if due, ok := p.holder.Orders().NextDue(); ok {
		p.m.sim.at(due, func() { p.whileRunning(p.advance) })
	}
}

// advance runs the steps of the orders that are due, unless the lease has changed.
func (p *placer) advance() {
	if lease := p.lease(); p.holder.MayActUnder(lease) {
		p.carryOut(p.holder.Orders().Advance(p.m.sim.now, lease))
	}
}

// post sends an order to its endpoint. Without an answer the outcome is orders.Unknown.
func (p *placer) post(call orders.OrderCall) {
	deliver := func() orders.Outcome {
		p.table.checker.checkOrder(p.m.sim.now, p.m.address, call)
		return p.table.endpoint(call.Order.Endpoint).receive(call.Order, p.table.random)
	}
	exchange(p, deliver, func(outcome *orders.Outcome) {
		answer := orders.Answer{Outcome: orders.Unknown}
		if outcome != nil {
			answer.Outcome = *outcome
		}
		p.carryOut(p.holder.Orders().OrderAnswered(p.m.sim.now, call.Order.Endpoint, call.ID, answer))
	})
}

// call requests a report from an endpoint. The answer is nil if there is none in time.
func (p *placer) call(serve func() orders.Report, answer func(*orders.Report)) {
	exchange(p, serve, answer)
}

// exchange makes one call to an endpoint. The request may be slow or lost, and the response may be lost. The answer is nil if
// no response arrives within orderTimeout. A request that was sent reaches the endpoint even if the process is killed meanwhile.
func exchange[Response any](p *placer, serve func() Response, answer func(*Response)) {
	sim, random := p.m.sim, p.table.random
	answered := false
	respond := func(response *Response) {
		if !answered {
			answered = true
			answer(response)
		}
	}
	sim.after(orderTimeout, func() { p.whileRunning(func() { respond(nil) }) })
	delay := minDelay + time.Duration(random.Int64N(int64(maxExtraDelay)))
	if random.IntN(slowCallFraction) == 0 {
		delay = time.Duration(random.Int64N(int64(orderTimeout)))
	}
	requestLost, responseLost := random.IntN(lostRequestFraction) == 0, random.IntN(lostResponseFraction) == 0
	sim.after(delay, func() {
		if requestLost {
			return
		}
		response := serve()
		if !responseLost {
			sim.after(minDelay, func() { p.whileRunning(func() { respond(&response) }) })
		}
	})
}

// whileRunning runs a function if the process still runs. In a frozen process it runs the function after the resumption.
func (p *placer) whileRunning(run func()) {
	m := p.m
	switch {
	case !m.up || m.incarnation != p.incarnation:
	case !m.isRunning():
		m.sim.at(m.frozenUntil, func() { p.whileRunning(run) })
	default:
		run()
	}
}
