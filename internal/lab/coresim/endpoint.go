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

// Properties of the emulated endpoints and of the origin of the weights. An endpoint has memory for two models.
const (
	endpointCount    = 6
	modelCount       = 24
	modelSizeMB      = 50
	endpointSizeMB   = 110
	modelLoadSeconds = 0.3
	loadsPerSecond   = 1.2
	ceilingWindow    = 5 * time.Second
	ceilingOvershoot = 1.1
	// ceilingSlack is the number of loads that may begin in a window in addition to those that the rate and the overshoot allow.
	ceilingSlack = 3
	serviceName  = "service"
	// maxLoadSlowdown is the largest factor by which a load takes longer than modelLoadSeconds.
	maxLoadSlowdown = 3
	// unloadDuration is the time that an endpoint takes to unload a model.
	unloadDuration = 10 * time.Millisecond
	// heartbeatInterval is the interval at which the members learn which models an endpoint has loaded.
	heartbeatInterval = 1200 * time.Millisecond
)

// engine returns the configuration of the inference engine of the emulated endpoints.
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

// endpoint is an emulated endpoint. It executes one order at a time. All members can reach it at all times, since a partition
// between the members need not affect their connections to the endpoints.
type endpoint struct {
	id       string
	sim      *Simulation
	models   map[string][]string
	sequence uint64
	busy     bool
	// heartbeat contains the models in the last heartbeat, which is what the members know.
	heartbeat map[string][]string
	// recentReports are the reports of the last orders.MaxReportAge, the oldest first. A request may get any of them.
	recentReports []datedReport
}

// datedReport is a report of an endpoint that is valid from the time since on.
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

// sendHeartbeat sends a heartbeat now and at each interval.
func (e *endpoint) sendHeartbeat() {
	e.heartbeat = maps.Clone(e.models)
	e.sim.after(heartbeatInterval, e.sendHeartbeat)
}

// recordReport stores the present report and drops reports that were superseded more than orders.MaxReportAge ago.
func (e *endpoint) recordReport() {
	report := orders.Report{Models: maps.Clone(e.models), Busy: e.busy, Sequence: e.sequence}
	e.recentReports = append(e.recentReports, datedReport{since: e.sim.now, report: report})
	for len(e.recentReports) > 1 && e.sim.now-e.recentReports[1].since > orders.MaxReportAge {
		e.recentReports = e.recentReports[1:]
	}
}

// report returns the endpoint's report as it was at a random time within the last orders.MaxReportAge.
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

// receive accepts an order and begins to execute it, or answers with a conflict while another one is in progress.
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

// finish completes the order that is in progress.
func (e *endpoint) finish(order placement.Order) {
	after := placement.Endpoint{Models: e.models}
	after.Apply(order)
	e.models, e.busy = after.Models, false
	e.recordReport()
}
