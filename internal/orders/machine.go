package orders

import (
	"maps"
	"slices"
	"time"

	"dykering/internal/placement"
)

// Machine has the orders of one lease holder. See the package comment for its contract.
type Machine struct {
	ledger   *placement.LoadLedger
	tasks    map[string]*task          // by endpoint
	states   map[string]*endpointState // by endpoint
	lastCall CallID
}

// New returns a machine without orders. It records loads of weights in the ledger.
func New(ledger *placement.LoadLedger) *Machine {
	return &Machine{ledger: ledger, tasks: map[string]*task{}, states: map[string]*endpointState{}}
}

// Reset starts a new lease. What is known of orders and endpoints is out of date, but for the orders that the previous holder
// is known to have had in flight: their endpoints are asked what came of them, and get no other order before.
func (m *Machine) Reset(now time.Duration, ledger *placement.LoadLedger, inFlight []InFlight) {
	m.ledger = ledger
	m.tasks, m.states = map[string]*task{}, map[string]*endpointState{}
	for _, order := range inFlight {
		m.tasks[order.Order.Endpoint] = &task{phase: inherited, order: order.Order, address: order.Address, due: now, expectedEnd: now}
	}
}

// Begin starts an order, unless its endpoint has one.
func (m *Machine) Begin(now time.Duration, lease Lease, request Request) Output {
	endpoint := request.Order.Endpoint
	if m.tasks[endpoint] != nil {
		return Output{}
	}
	t := &task{
		phase: preparing, order: request.Order, engine: request.Engine, address: request.Address, token: lease.Token,
		hadRequests: request.HadRequests, due: now, recordedAt: now,
		expectedEnd: now + ExpectedDuration(request.Engine, request.Order),
	}
	m.tasks[endpoint] = t
	if LoadsWeights(t.order) {
		m.ledger.RecordStart(now)
	}
	if t.order.Operation != placement.Unload {
		return m.step(now, lease, t)
	}
	// Published before the order: a request that reaches the endpoint after it would find the model missing.
	t.scheduleStep(publishing, now+unloadDelay)
	return Output{Publications: []Publication{{Endpoint: endpoint, Override: OverrideOf(t.order)}}}
}

// Advance takes the steps that are due.
func (m *Machine) Advance(now time.Duration, lease Lease) Output {
	var out Output
	for _, endpoint := range slices.Sorted(maps.Keys(m.tasks)) {
		if t := m.tasks[endpoint]; t.call == 0 && now >= t.due {
			out.add(m.step(now, lease, t))
		}
	}
	return out
}

// NextDue returns when the next step is due; ok is false if none waits for a time.
func (m *Machine) NextDue() (due time.Duration, ok bool) {
	for _, t := range m.tasks {
		if t.call == 0 && (!ok || t.due < due) {
			due, ok = t.due, true
		}
	}
	return due, ok
}

// Retain forgets the endpoints that are not kept, with their orders.
func (m *Machine) Retain(keep func(endpoint string) bool) {
	maps.DeleteFunc(m.tasks, func(endpoint string, _ *task) bool { return !keep(endpoint) })
	maps.DeleteFunc(m.states, func(endpoint string, _ *endpointState) bool { return !keep(endpoint) })
}

// HasOrder reports whether an endpoint has an order, or cannot get one yet.
func (m *Machine) HasOrder(endpoint string) bool { return m.tasks[endpoint] != nil }

// InFlight returns the orders whose end is not known, by endpoint.
func (m *Machine) InFlight() []InFlight {
	var orders []InFlight
	for _, endpoint := range slices.Sorted(maps.Keys(m.tasks)) {
		if t := m.tasks[endpoint]; t.phase != awaitingIdle {
			orders = append(orders, InFlight{Order: t.order, Address: t.address})
		}
	}
	return orders
}

// LoadsAtOrigin returns how many loads take part of what the origin of the weights can carry.
func (m *Machine) LoadsAtOrigin(now time.Duration) int {
	count := 0
	for _, t := range m.tasks {
		if t.usesOrigin(now) {
			count++
		}
	}
	return count
}

// CompleteEndpoint completes an endpoint, as its heartbeats describe it, by what is known of it and by its order.
func (m *Machine) CompleteEndpoint(endpoint *placement.Endpoint) {
	if state := m.states[endpoint.ID]; state != nil && state.hasReport {
		endpoint.Models = state.models
	}
	t := m.tasks[endpoint.ID]
	if t == nil {
		return
	}
	endpoint.OrderInFlight = true
	if t.countsAsExecuted() {
		endpoint.Apply(t.order)
		endpoint.ReservedFor = t.order.FreesMemoryFor
	}
}

func (m *Machine) state(endpoint string) *endpointState {
	state := m.states[endpoint]
	if state == nil {
		state = &endpointState{}
		m.states[endpoint] = state
	}
	return state
}
