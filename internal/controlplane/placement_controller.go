package controlplane

import (
	"time"

	"dykering/internal/corestate"
	"dykering/internal/fleetconfig"
	"dykering/internal/nodefile"
	"dykering/internal/orders"
	"dykering/internal/placement"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

const (
	// planInterval is the time between two plans if no proxy has reported an unplaced request in between.
	planInterval = 250 * time.Millisecond
	// minPlanPause is the minimum time between two plans.
	minPlanPause = 15 * time.Millisecond
	// maxPlanningFraction is the fraction of the event loop's time that planning may take. With many endpoints a plan
	// takes long, and heartbeats and changes must not wait for it.
	maxPlanningFraction = 0.1
)

// placementController orders endpoints to load and unload models while this member holds the lease of the singleton
// role "placement". Package placement makes the plans. The controller is owned by the event loop.
type placementController struct {
	server *Server
	client *orderClient

	demand         *placement.Demand
	holder         *orders.Holder
	orderTimer     *time.Timer // advances orders when their next step is due
	overlays       map[string]publishedOverlay
	overlayCounter uint64
	decisions      decisionLog

	planDue            time.Duration
	planNotBefore      time.Duration
	cleanupDue         time.Duration
	ledgerBroadcastDue time.Duration

	// The committed configuration, parsed once for each change.
	parsed    *fleetconfig.Config
	parsedSeq uint64
}

func newPlacementController(s *Server) *placementController {
	bounds := &s.settings.Bounds
	return &placementController{
		server: s, client: newOrderClient(), demand: placement.NewDemand(), overlays: map[string]publishedOverlay{},
		holder: orders.NewHolder(orders.HolderConfig{
			Window: nodefile.Seconds(bounds.CeilingWindowS), Overshoot: bounds.OriginRateOvershoot, LeaseDuration: s.timing.lease,
		}),
	}
}

// forwardDemand sends the report of a proxy to the lease holder.
func (c *placementController) forwardDemand(report protocol.DemandReport) {
	view := c.server.chain.View()
	if view.Holder == c.server.chain.Self().ID {
		c.applyDemand(report)
		return
	}
	if holder, ok := view.Voter(view.Holder); ok {
		c.server.send(holder.Address, report)
	}
}

// applyDemand adds the report of a proxy to the demand. An unplaced request makes a plan due at once.
func (c *placementController) applyDemand(report protocol.DemandReport) {
	samples := make([]placement.Sample, 0, len(report.Demands))
	unplaced := false
	for _, demand := range report.Demands {
		unplaced = unplaced || demand.Unplaced > 0
		samples = append(samples, placement.Sample{
			Key:      placement.Key{Service: demand.Service, Model: demand.Model, Adapter: demand.Adapter},
			Requests: demand.Requests, Unplaced: demand.Unplaced, InFlight: demand.InFlight, Waiting: demand.Waiting,
		})
	}
	c.demand.Report(c.server.now(), report.From, samples)
	if unplaced {
		c.planDue = 0
	}
}

// tick follows changes of the lease, advances orders and removes expired state.
func (c *placementController) tick(now time.Duration) {
	if c.holder.UpdateLease(now, c.lease(now), c.takeover) {
		c.server.log.Info("placement.lease_acquired", "token", c.holder.Lease().Token)
	}
	if !c.holder.Lease().Held {
		return
	}
	c.advanceOrders()
	c.broadcastLedger(now)
	if now >= c.cleanupDue {
		c.cleanupDue = now + planInterval
		c.demand.Expire(now)
		c.expireOverlays(now)
		c.holder.Orders().Retain(func(endpoint string) bool { return c.address(endpoint) != "" })
	}
}

// takeover returns what the holder needs to know when it takes over from another member.
func (c *placementController) takeover() orders.Takeover {
	takeover := orders.Takeover{
		AgreedAt: c.server.chain.LeaseHolderSince(), IsFirst: !c.server.restoredFromDisk, Address: c.address,
	}
	for _, service := range c.modelServices() {
		takeover.LoadsPerS = append(takeover.LoadsPerS, service.Engine.LoadsPerS)
	}
	c.overlays = map[string]publishedOverlay{}
	return takeover
}

// planIfDue makes a plan for each service and starts its orders, if a plan is due.
func (c *placementController) planIfDue(now time.Duration) {
	if !c.holder.Lease().Held || now < c.planDue || now < c.planNotBefore {
		return
	}
	c.planDue = now + planInterval
	for _, service := range c.modelServices() {
		input := placement.Input{
			Service: service.Name, Engine: service.Engine, Demand: c.demand,
			Endpoints: c.plannerEndpoints(service.Name), MaxLoads: c.permittedLoads(now, service.Engine),
		}
		planned := placement.Plan(now, input)
		c.decisions.record(now, service.Name, planned, &input)
		for _, order := range planned {
			c.startOrder(now, service, order)
		}
	}
	finished := c.server.now()
	c.planNotBefore = finished + max(minPlanPause, time.Duration(float64(finished-now)/maxPlanningFraction))
}

// modelServices returns the services of the committed configuration whose endpoints have an inference engine, and so
// load models.
func (c *placementController) modelServices() []fleetconfig.Service {
	state := c.server.chain.CommittedState()
	seq := corestate.ConfigurationSeq(state)
	if c.parsed == nil || c.parsedSeq != seq {
		parsed, err := fleetconfig.Parse(&corestate.Configuration(state.Value).Document)
		if err != nil {
			return nil
		}
		c.parsed, c.parsedSeq = parsed, seq
	}
	var services []fleetconfig.Service
	for _, service := range c.parsed.Services {
		if service.Engine != nil {
			services = append(services, service)
		}
	}
	return services
}

// permittedLoads returns how many loads of weights may start now, given the rate of the origin and the loads in flight.
func (c *placementController) permittedLoads(now time.Duration, engine *fleetconfig.Engine) int {
	var longest float64
	for _, model := range engine.Models {
		longest = max(longest, model.LoadTimeS)
	}
	return min(
		placement.ConcurrentLoads(engine.LoadsPerS, longest)-c.holder.Orders().LoadsAtOrigin(now),
		c.holder.AvailableLoads(now, engine.LoadsPerS),
	)
}

// plannerEndpoints returns the endpoints of a service in the planner's form.
func (c *placementController) plannerEndpoints(service string) []placement.Endpoint {
	var endpoints []placement.Endpoint
	for _, session := range c.server.sessions.Table().Endpoints() {
		if session.Heartbeat.Service != service || session.State == sessions.Departed {
			continue
		}
		endpoint := plannerEndpoint(&session)
		c.holder.Orders().CompleteEndpoint(&endpoint)
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
