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
	// planInterval is the time between two plans where no proxy has reported an unplaced request since.
	planInterval = 250 * time.Millisecond
	// minPlanPause is the least time between two plans.
	minPlanPause = 15 * time.Millisecond
	// maxPlanningFraction is the part of the event loop's time that plans may take: with many endpoints a plan takes long,
	// and heartbeats and changes must not wait for it.
	maxPlanningFraction = 0.1
)

// placementController orders endpoints to load and unload models while this member holds the lease of the singleton role
// "placement". The decisions are those of the package placement. The event loop owns the controller.
type placementController struct {
	server *Server
	client *orderClient

	holdsLease   bool
	fencingToken uint64 // of the lease that this member holds, or has held last

	demand         *placement.Demand
	ledger         *placement.LoadLedger
	peerLedger     receivedLedger            // of another lease holder
	endpointStates map[string]*endpointState // by endpoint
	inFlight       map[string]*inFlightOrder // by endpoint
	overlays       map[string]publishedOverlay
	overlayCounter uint64
	decisions      decisionLog

	planDue            time.Duration
	planNotBefore      time.Duration
	cleanupDue         time.Duration
	ledgerBroadcastDue time.Duration

	// The committed configuration, parsed once a change.
	parsed    *fleetconfig.Config
	parsedSeq uint64
}

func newPlacementController(s *Server) *placementController {
	return &placementController{
		server: s, client: newOrderClient(), demand: placement.NewDemand(), ledger: newLedger(s),
		inFlight: map[string]*inFlightOrder{}, overlays: map[string]publishedOverlay{}, endpointStates: map[string]*endpointState{},
	}
}

func newLedger(s *Server) *placement.LoadLedger {
	return placement.NewLoadLedger(nodefile.Seconds(s.settings.Bounds.CeilingWindowS), s.settings.Bounds.OriginRateOvershoot)
}

// forwardDemand passes a proxy's report on to the lease holder.
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

// applyDemand adds a proxy's report to the demand. An unplaced request makes a plan due at once.
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

// tick follows the lease, and removes what has expired.
func (c *placementController) tick(now time.Duration) {
	token, holds := c.server.chain.HoldsLease(now)
	if holds && (!c.holdsLease || token != c.fencingToken) {
		c.onLeaseAcquired(now, token)
	}
	c.holdsLease = holds
	if !holds {
		return
	}
	for endpoint, order := range c.inFlight {
		if now > order.deadline {
			delete(c.inFlight, endpoint)
		}
	}
	c.broadcastLedger(now)
	if now >= c.cleanupDue {
		c.cleanupDue = now + planInterval
		c.demand.Expire(now)
		c.expireOverlays(now)
		c.expireEndpointStates()
	}
}

// onLeaseAcquired starts from nothing but the ledger: what this member knew of endpoints and orders, if it ever did, is
// out of date. The ledger is kept where the lease comes back before another member has had it, and else rebuilt with what
// its predecessor may have loaded.
func (c *placementController) onLeaseAcquired(now time.Duration, token uint64) {
	c.server.log.Info("placement.lease_acquired", "token", token)
	regained := token == c.fencingToken
	c.fencingToken = token
	c.inFlight, c.overlays = map[string]*inFlightOrder{}, map[string]publishedOverlay{}
	c.endpointStates = map[string]*endpointState{}
	if !regained {
		c.rebuildLedger(now, token)
	}
}

// planIfDue makes a plan for each service and starts its orders.
func (c *placementController) planIfDue(now time.Duration) {
	if !c.holdsLease || now < c.planDue || now < c.planNotBefore {
		return
	}
	c.planDue = now + planInterval
	for _, service := range c.modelServices() {
		input := placement.Input{
			Service: service.Name, Engine: service.Engine, Demand: c.demand,
			Endpoints: c.plannerEndpoints(service.Name), MaxLoads: c.permittedLoads(now, service.Engine),
		}
		orders := placement.Plan(now, input)
		c.decisions.record(now, service.Name, orders, &input)
		for _, order := range orders {
			c.startOrder(now, service, order)
		}
	}
	finished := c.server.now()
	c.planNotBefore = finished + max(minPlanPause, time.Duration(float64(finished-now)/maxPlanningFraction))
}

// modelServices lists the services of the committed configuration that have an engine, that is, endpoints with models.
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

// permittedLoads is how many loads of weights may start now, by the origin's rate and by what is in flight.
func (c *placementController) permittedLoads(now time.Duration, engine *fleetconfig.Engine) int {
	running := 0
	for _, order := range c.inFlight {
		if loadsWeights(order.order) && order.usesOrigin(now) {
			running++
		}
	}
	var longest float64
	for _, model := range engine.Models {
		longest = max(longest, model.LoadTimeS)
	}
	return min(placement.ConcurrentLoads(engine.LoadsPerS, longest)-running, c.ledger.Available(now, engine.LoadsPerS))
}

// plannerEndpoints lists the endpoints of a service as the planner sees them.
func (c *placementController) plannerEndpoints(service string) []placement.Endpoint {
	var endpoints []placement.Endpoint
	for _, session := range c.server.sessionTable.Endpoints() {
		if session.Heartbeat.Service != service || session.State == sessions.Departed {
			continue
		}
		endpoints = append(endpoints, plannerEndpoint(&session, c.endpointStates[session.ID], c.inFlight[session.ID]))
	}
	return endpoints
}

// expireEndpointStates forgets the endpoints whose session has been deleted.
func (c *placementController) expireEndpointStates() {
	for id := range c.endpointStates {
		if _, ok := c.server.sessionTable.Get(id); !ok {
			delete(c.endpointStates, id)
		}
	}
}
