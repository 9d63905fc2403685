package coresim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/orders"
	"dykering/internal/placement"
)

// The emulated endpoints and the origin of the weights. An endpoint has room for two of the models.
const (
	endpointCount    = 6
	modelCount       = 24
	modelSizeMB      = 50
	endpointSizeMB   = 110
	modelLoadSeconds = 0.3
	loadsPerSecond   = 1.2
	ceilingWindow    = 5 * time.Second
	ceilingOvershoot = 1.1
	// ceilingSlack is how many loads may begin in a window beyond what the rate and the overshoot allow.
	ceilingSlack = 3
	serviceName  = "service"
	// maxLoadSlowdown is by which factor a load may take longer than told.
	maxLoadSlowdown = 3
	// unloadDuration is how long an endpoint takes to unload.
	unloadDuration = 10 * time.Millisecond
	// heartbeatInterval is how often the members learn what an endpoint has loaded.
	heartbeatInterval = 1200 * time.Millisecond
)

// engine is the configured engine of the emulated endpoints.
func engine() *fleetconfig.Engine {
	engine := &fleetconfig.Engine{WeightsSizeMB: endpointSizeMB, AdapterSlots: 1, LoadsPerS: loadsPerSecond}
	for i := range modelCount {
		engine.Models = append(engine.Models, fleetconfig.Model{
			Name: modelName(i), WeightsSizeMB: modelSizeMB, LoadTimeS: modelLoadSeconds,
		})
	}
	return engine
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

// endpoint is an emulated endpoint. It executes one order at a time, and is reached by all members at all times: that a member
// is cut off from the others says nothing about its way to an endpoint.
type endpoint struct {
	id       string
	sim      *Simulation
	models   map[string][]string
	sequence uint64
	busy     bool
	// heartbeat is what the members know of its models.
	heartbeat map[string][]string
	// earlier are its reports of the last orders.MaxReportAge, the oldest first: any of them may be shown.
	recentReports []datedReport
}

// datedReport is the report of an endpoint from a time on.
type datedReport struct {
	since  time.Duration
	report orders.Report
}

func newEndpoint(sim *Simulation, index int) *endpoint {
	e := &endpoint{id: fmt.Sprintf("endpoint-%d", index), sim: sim, models: map[string][]string{modelName(index % modelCount): {}}}
	e.recordReport()
	e.sendHeartbeat()
	return e
}

// beat sends a heartbeat.
func (e *endpoint) sendHeartbeat() {
	e.heartbeat = maps.Clone(e.models)
	e.sim.after(heartbeatInterval, e.sendHeartbeat)
}

// remember keeps the present report, which may be shown for orders.MaxReportAge after it has changed.
func (e *endpoint) recordReport() {
	report := orders.Report{Models: maps.Clone(e.models), Busy: e.busy, Sequence: e.sequence}
	e.recentReports = append(e.recentReports, datedReport{since: e.sim.now, report: report})
	for len(e.recentReports) > 1 && e.sim.now-e.recentReports[1].since > orders.MaxReportAge {
		e.recentReports = e.recentReports[1:]
	}
}

// report returns the endpoint's report as it was at a random time of the last orders.MaxReportAge.
func (e *endpoint) report(random *rand.Rand) orders.Report {
	at := e.sim.now - time.Duration(random.Int64N(int64(orders.MaxReportAge)))
	shown := e.recentReports[0].report
	for _, dated := range e.recentReports {
		if dated.since <= at {
			shown = dated.report
		}
	}
	return shown
}

// receive takes an order, as the operators' page has it.
func (e *endpoint) receive(order placement.Order, random *rand.Rand) orders.Outcome {
	if e.busy {
		return orders.Conflict
	}
	if order.Operation == placement.Load {
		e.sim.placement.checker.checkLoad(e.sim.now, e, order)
	}
	e.sequence++
	e.busy = true
	e.recordReport()
	duration := unloadDuration
	if orders.LoadsWeights(order) {
		duration = time.Duration(modelLoadSeconds * float64(time.Second) * (1 + random.Float64()*(maxLoadSlowdown-1)))
	}
	e.sim.after(duration, func() { e.finish(order) })
	return orders.Accepted
}

// finish ends the order that is in progress.
func (e *endpoint) finish(order placement.Order) {
	after := placement.Endpoint{Models: e.models}
	after.Apply(order)
	e.models, e.busy = after.Models, false
	e.recordReport()
}
