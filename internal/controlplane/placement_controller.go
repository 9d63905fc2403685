package controlplane

import (
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/nodefile"
	"dykering/internal/placement"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

const (
	// planEvery is the time between two plans where nothing urgent has been reported.
	planEvery = 250 * time.Millisecond
	// planPause is the least time between two plans, planShare the part of the time that plans may take.
	planPause = 15 * time.Millisecond
	planShare = 0.1
	// overlayBeats is how many heartbeats an overlay outlives, so that an endpoint's own word is back by then.
	overlayBeats = 2
	// unloadNotice is the time that the sidecars have to hear that a model is unloaded before the order goes out.
	unloadNotice = 30 * time.Millisecond
)

// placer places models while this member holds the role. The owner of the process owns it.
type placer struct {
	process   *Process
	client    *orderClient
	demand    *placement.Demand
	ledger    *placement.LoadLedger
	holding   bool
	token     uint64
	counter   uint64
	planAt    time.Duration
	pauseTill time.Duration // no plan is made before
	tidyAt    time.Duration
	underWay  map[string]*orderUnderWay // by endpoint
	overlays  map[string]overlay        // by endpoint
	states    map[string]*endpointState // by endpoint
	decisions decisionLog
	heard     heardLedger // of another holder
	shareAt   time.Duration
	parsed    *fleetconfig.Parsed
	parsedSeq uint64
}

// orderUnderWay is an order that was begun and has not ended.
type orderUnderWay struct {
	order   placement.Order
	service string
	until   time.Duration // when it counts as ended whatever is heard
	ready   time.Duration // when it should have ended
}

// overlay is what this member has said of an endpoint ahead of its heartbeats.
type overlay struct {
	holdings []sessions.ModelOverride
	setAt    time.Duration
}

func newPlacer(p *Process) *placer {
	return &placer{
		process: p, client: newOrderClient(), demand: placement.NewDemand(),
		ledger:   newLedger(p),
		underWay: map[string]*orderUnderWay{}, overlays: map[string]overlay{}, states: map[string]*endpointState{},
	}
}

// forward passes a report on to the member that places models.
func (pl *placer) forward(report protocol.DemandReport) {
	p := pl.process
	view := p.node.View()
	if view.Holder == p.node.Self().ID {
		pl.report(report)
		return
	}
	if holder, ok := view.Voter(view.Holder); ok {
		p.send(holder.Address, report)
	}
}

// report takes a sidecar's demand.
func (pl *placer) report(report protocol.DemandReport) {
	samples := make([]placement.Sample, 0, len(report.Demands))
	urgent := false
	for _, d := range report.Demands {
		urgent = urgent || d.Unplaced > 0
		samples = append(samples, placement.Sample{
			Key:      placement.Key{Service: d.Service, Model: d.Model, Adapter: d.Adapter},
			Requests: d.Requests, Unplaced: d.Unplaced, InFlight: d.InFlight, Waiting: d.Waiting,
		})
	}
	pl.demand.Report(pl.process.now(), report.From, samples)
	if urgent {
		pl.planAt = 0
	}
}

func (pl *placer) tick(now time.Duration) {
	token, holds := pl.process.node.HoldsLease(now)
	if holds && (!pl.holding || token != pl.token) {
		pl.take(now, token)
	}
	pl.holding = holds
	if !holds {
		return
	}
	for id, u := range pl.underWay {
		if now > u.until {
			delete(pl.underWay, id)
		}
	}
	pl.shareLedger(now)
	if now >= pl.tidyAt {
		pl.tidyAt = now + planEvery
		pl.demand.Expire(now)
		pl.retireOverlays(now)
	}
}

// take begins to hold the role. What a predecessor may have begun counts.
func (pl *placer) take(now time.Duration, token uint64) {
	p := pl.process
	p.log.Info("placement.held", "token", token)
	regained := token == pl.token // nobody else has held the role since
	pl.token = token
	pl.underWay, pl.overlays = map[string]*orderUnderWay{}, map[string]overlay{}
	pl.states = map[string]*endpointState{}
	if !regained {
		pl.takeLedger(now, token)
	}
}

// loads tells whether an order to load still takes part of what the store carries: until it should have ended, and again from
// when its end should have been heard of.
func (u *orderUnderWay) loads(now time.Duration) bool {
	return now < u.ready || now > u.ready+reportLag+orderLook
}

func newLedger(p *Process) *placement.LoadLedger {
	return placement.NewLoadLedger(nodefile.Seconds(p.settings.Bounds.CeilingWindowS), p.settings.Bounds.OriginRateOvershoot)
}

// services are those with model endpoints, as the committed configuration has them.
func (pl *placer) services() []fleetconfig.Service {
	state := pl.process.node.CommittedState()
	if pl.parsed == nil || pl.parsedSeq != state.Seq {
		value, ok := state.Value.(*fleetconfig.State)
		if !ok {
			return nil
		}
		parsed, err := fleetconfig.Parse(&value.Document)
		if err != nil {
			return nil
		}
		pl.parsed, pl.parsedSeq = parsed, state.Seq
	}
	var services []fleetconfig.Service
	for _, s := range pl.parsed.Services {
		if s.Engine != nil {
			services = append(services, s)
		}
	}
	return services
}

// afterCommands plans where it is due, and begins the orders.
func (pl *placer) afterCommands(now time.Duration) {
	if !pl.holding || now < pl.planAt || now < pl.pauseTill {
		return
	}
	pl.planAt = now + planEvery
	defer func() {
		ended := pl.process.now()
		pl.pauseTill = ended + max(planPause, time.Duration(float64(ended-now)/planShare))
	}()
	for _, service := range pl.services() {
		input := placement.Input{Service: service.Name, Engine: service.Engine, Demand: pl.demand,
			Endpoints: pl.endpoints(service.Name), MaxLoads: pl.loads(now, service.Engine)}
		orders := placement.Plan(now, input)
		pl.decisions.note(now, service.Name, orders, &input)
		for _, order := range orders {
			pl.begin(now, service, order)
		}
	}
}

// loads is how many loads of weights may begin now.
func (pl *placer) loads(now time.Duration, engine *fleetconfig.Engine) int {
	running := 0
	for _, u := range pl.underWay {
		if u.order.Operation == placement.Load && u.order.Adapter == "" && u.loads(now) {
			running++
		}
	}
	var longest float64
	for _, m := range engine.Models {
		longest = max(longest, m.LoadTimeS)
	}
	return min(placement.ConcurrentLoads(engine.LoadsPerS, longest)-running, pl.ledger.Available(now, engine.LoadsPerS))
}

// endpoints are those of a service, as the planner sees them.
func (pl *placer) endpoints(service string) []placement.Endpoint {
	var out []placement.Endpoint
	for _, e := range pl.process.table.Endpoints() {
		if e.Heartbeat.Service != service || e.State == sessions.Departed {
			continue
		}
		seen := placement.Endpoint{ID: e.ID, Models: modelsOf(e.Heartbeat.Models), Excluded: e.State != sessions.Ready}
		if state := pl.states[e.ID]; state != nil && state.known {
			seen.Models = state.models
		}
		if u := pl.underWay[e.ID]; u != nil {
			seen.OrderInFlight = true
			seen.Apply(u.order)
			seen.ReservedFor = u.order.FreesMemoryFor
		}
		out = append(out, seen)
	}
	return out
}
