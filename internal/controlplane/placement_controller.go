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
	planInterval = 250 * time.Millisecond
	// planPause is the least time between two plans, planShare the part of the time that plans may take.
	minPlanPause        = 15 * time.Millisecond
	maxPlanningFraction = 0.1
	// overlayBeats is how many heartbeats an overlay outlives, so that an endpoint's own word is back by then.
	overlayHeartbeats = 2
	// unloadNotice is the time that the sidecars have to hear that a model is unloaded before the order goes out.
	unloadDelay = 30 * time.Millisecond
)

// placer places models while this member holds the role. The owner of the process owns it.
type placementController struct {
	server             *Server
	client             *orderClient
	demand             *placement.Demand
	ledger             *placement.LoadLedger
	holdsLease         bool
	fencingToken       uint64
	overlayCounter     uint64
	planDue            time.Duration
	planNotBefore      time.Duration // no plan is made before
	cleanupDue         time.Duration
	inFlight           map[string]*inFlightOrder   // by endpoint
	overlays           map[string]publishedOverlay // by endpoint
	endpointStates     map[string]*endpointState   // by endpoint
	decisions          decisionLog
	peerLedger         receivedLedger // of another holder
	ledgerBroadcastDue time.Duration
	parsed             *fleetconfig.Parsed
	parsedSeq          uint64
}

// orderUnderWay is an order that was begun and has not ended.
type inFlightOrder struct {
	order       placement.Order
	service     string
	deadline    time.Duration // when it counts as ended whatever is heard
	expectedEnd time.Duration // when it should have ended
}

// overlay is what this member has said of an endpoint ahead of its heartbeats.
type publishedOverlay struct {
	overrides []sessions.ModelOverride
	setAt     time.Duration
}

func newPlacementController(s *Server) *placementController {
	return &placementController{
		server: s, client: newOrderClient(), demand: placement.NewDemand(),
		ledger:   newLedger(s),
		inFlight: map[string]*inFlightOrder{}, overlays: map[string]publishedOverlay{}, endpointStates: map[string]*endpointState{},
	}
}

// forward passes a report on to the member that places models.
func (c *placementController) forwardDemand(report protocol.DemandReport) {
	s := c.server
	view := s.chain.View()
	if view.Holder == s.chain.Self().ID {
		c.applyDemand(report)
		return
	}
	if holder, ok := view.Voter(view.Holder); ok {
		s.send(holder.Address, report)
	}
}

// report takes a sidecar's demand.
func (c *placementController) applyDemand(report protocol.DemandReport) {
	samples := make([]placement.Sample, 0, len(report.Demands))
	urgent := false
	for _, d := range report.Demands {
		urgent = urgent || d.Unplaced > 0
		samples = append(samples, placement.Sample{
			Key:      placement.Key{Service: d.Service, Model: d.Model, Adapter: d.Adapter},
			Requests: d.Requests, Unplaced: d.Unplaced, InFlight: d.InFlight, Waiting: d.Waiting,
		})
	}
	c.demand.Report(c.server.now(), report.From, samples)
	if urgent {
		c.planDue = 0
	}
}

func (c *placementController) tick(now time.Duration) {
	token, holds := c.server.chain.HoldsLease(now)
	if holds && (!c.holdsLease || token != c.fencingToken) {
		c.onLeaseAcquired(now, token)
	}
	c.holdsLease = holds
	if !holds {
		return
	}
	for id, u := range c.inFlight {
		if now > u.deadline {
			delete(c.inFlight, id)
		}
	}
	c.broadcastLedger(now)
	if now >= c.cleanupDue {
		c.cleanupDue = now + planInterval
		c.demand.Expire(now)
		c.expireOverlays(now)
	}
}

// take begins to hold the role. What a predecessor may have begun counts.
func (c *placementController) onLeaseAcquired(now time.Duration, token uint64) {
	s := c.server
	s.log.Info("placement.held", "token", token)
	regained := token == c.fencingToken // nobody else has held the role since
	c.fencingToken = token
	c.inFlight, c.overlays = map[string]*inFlightOrder{}, map[string]publishedOverlay{}
	c.endpointStates = map[string]*endpointState{}
	if !regained {
		c.rebuildLedger(now, token)
	}
}

// loads tells whether an order to load still takes part of what the store carries: until it should have ended, and again from
// when its end should have been heard of.
func (u *inFlightOrder) usesOriginBandwidth(now time.Duration) bool {
	return now < u.expectedEnd || now > u.expectedEnd+maxReportAge+completionPollInterval
}

func newLedger(s *Server) *placement.LoadLedger {
	return placement.NewLoadLedger(nodefile.Seconds(s.settings.Bounds.CeilingWindowS), s.settings.Bounds.OriginRateOvershoot)
}

// services are those with model endpoints, as the committed configuration has them.
func (c *placementController) modelServices() []fleetconfig.Service {
	state := c.server.chain.CommittedState()
	if c.parsed == nil || c.parsedSeq != state.Seq {
		value, ok := state.Value.(*fleetconfig.State)
		if !ok {
			return nil
		}
		parsed, err := fleetconfig.Parse(&value.Document)
		if err != nil {
			return nil
		}
		c.parsed, c.parsedSeq = parsed, state.Seq
	}
	var services []fleetconfig.Service
	for _, service := range c.parsed.Services {
		if service.Engine != nil {
			services = append(services, service)
		}
	}
	return services
}

// afterCommands plans where it is due, and begins the orders.
func (c *placementController) planIfDue(now time.Duration) {
	if !c.holdsLease || now < c.planDue || now < c.planNotBefore {
		return
	}
	c.planDue = now + planInterval
	defer func() {
		ended := c.server.now()
		c.planNotBefore = ended + max(minPlanPause, time.Duration(float64(ended-now)/maxPlanningFraction))
	}()
	for _, service := range c.modelServices() {
		input := placement.Input{Service: service.Name, Engine: service.Engine, Demand: c.demand,
			Endpoints: c.plannerEndpoints(service.Name), MaxLoads: c.permittedLoads(now, service.Engine)}
		orders := placement.Plan(now, input)
		c.decisions.record(now, service.Name, orders, &input)
		for _, order := range orders {
			c.startOrder(now, service, order)
		}
	}
}

// loads is how many loads of weights may begin now.
func (c *placementController) permittedLoads(now time.Duration, engine *fleetconfig.Engine) int {
	running := 0
	for _, u := range c.inFlight {
		if u.order.Operation == placement.Load && u.order.Adapter == "" && u.usesOriginBandwidth(now) {
			running++
		}
	}
	var longest float64
	for _, m := range engine.Models {
		longest = max(longest, m.LoadTimeS)
	}
	return min(placement.ConcurrentLoads(engine.LoadsPerS, longest)-running, c.ledger.Available(now, engine.LoadsPerS))
}

// endpoints are those of a service, as the planner sees them.
func (c *placementController) plannerEndpoints(service string) []placement.Endpoint {
	var out []placement.Endpoint
	for _, e := range c.server.table.Endpoints() {
		if e.Heartbeat.Service != service || e.State == sessions.Departed {
			continue
		}
		seen := placement.Endpoint{ID: e.ID, Models: modelsOf(e.Heartbeat.Models), Excluded: e.State != sessions.Ready}
		if state := c.endpointStates[e.ID]; state != nil && state.known {
			seen.Models = state.models
		}
		if u := c.inFlight[e.ID]; u != nil {
			seen.OrderInFlight = true
			seen.Apply(u.order)
			seen.ReservedFor = u.order.FreesMemoryFor
		}
		out = append(out, seen)
	}
	return out
}
