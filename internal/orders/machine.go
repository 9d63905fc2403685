package orders

import (
	"maps"
	"slices"
	"time"

	"dykering/internal/placement"
)

// Machine tracks the orders of one lease holder. The package comment describes its contract.
type Machine struct {
	ledger   *placement.LoadLedger
	tasks    map[string]*task          // by endpoint ID
	states   map[string]*endpointState // by endpoint ID
	lastCall CallID
}

// New returns a machine without orders. The machine records loads of weights in the ledger.
func New(ledger *placement.LoadLedger) *Machine {
	return &Machine{ledger: ledger, tasks: map[string]*task{}, states: map[string]*endpointState{}}
}

// Reset starts a new lease: it discards the outdated state of all orders and endpoints. The argument inFlight contains the
// orders that the previous lease holder is known to have had in flight. Their endpoints are asked for reports, and get no
// other order until a report shows the outcome.
func (m *Machine) Reset(now time.Duration, ledger *placement.LoadLedger, inFlight []InFlight) {
	m.ledger = ledger
	m.tasks, m.states = map[string]*task{}, map[string]*endpointState{}
	for _, order := range inFlight {
		m.tasks[order.Order.Endpoint] = &task{phase: inherited, order: order.Order, address: order.Address, due: now, expectedEnd: now}
	}
}

// Begin starts an order. It does nothing if the endpoint already has an order.
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
	// The unload is published before it is posted, since a request that reached the endpoint afterwards would find the model
	// missing.
	t.scheduleStep(publishing, now+unloadDelay)
	return Output{Publications: []Publication{{Endpoint: endpoint, Override: OverrideOf(t.order)}}}
}

// Advance executes the steps that are due.
func (m *Machine) Advance(now time.Duration, lease Lease) Output {
	var out Output
	for _, endpoint := range slices.Sorted(maps.Keys(m.tasks)) {
		if t := m.tasks[endpoint]; t.call == 0 && now >= t.due {
			out.add(m.step(now, lease, t))
		}
	}
	return out
}

// NextDue returns the time at which the next step is due. The result ok is false if no order waits for a time.
func (m *Machine) NextDue() (due time.Duration, ok bool) {
	for _, t := range m.tasks {
		if t.call == 0 && (!ok || t.due < due) {
			due, ok = t.due, true
		}
	}
	return due, ok
}

// Retain removes the state and the orders of all endpoints for which keep returns false.
func (m *Machine) Retain(keep func(endpoint string) bool) {
	maps.DeleteFunc(m.tasks, func(endpoint string, _ *task) bool { return !keep(endpoint) })
	maps.DeleteFunc(m.states, func(endpoint string, _ *endpointState) bool { return !keep(endpoint) })
}

// HasOrder reports whether an endpoint has an order, or has dropped one and not reported to be idle since. Such an endpoint
// gets no other order.
func (m *Machine) HasOrder(endpoint string) bool { return m.tasks[endpoint] != nil }

// InFlight returns the orders that have neither ended nor been dropped, sorted by endpoint ID.
func (m *Machine) InFlight() []InFlight {
	var orders []InFlight
	for _, endpoint := range slices.Sorted(maps.Keys(m.tasks)) {
		if t := m.tasks[endpoint]; t.phase != awaitingIdle {
			orders = append(orders, InFlight{Order: t.order, Address: t.address})
		}
	}
	return orders
}

// LoadsAtOrigin returns the number of loads that count against the capacity of the origin, the store that weights are
// loaded from.
func (m *Machine) LoadsAtOrigin(now time.Duration) int {
	count := 0
	for _, t := range m.tasks {
		if t.usesOrigin(now) {
			count++
		}
	}
	return count
}

// CompleteEndpoint updates a planner's endpoint, which the caller has filled from the heartbeats, with the newer state that the
// machine knows and with the order in flight.
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

// state returns the state of an endpoint, and creates an empty one if there is none.
func (m *Machine) state(endpoint string) *endpointState {
	state := m.states[endpoint]
	if state == nil {
		state = &endpointState{}
		m.states[endpoint] = state
	}
	return state
}
