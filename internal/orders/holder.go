package orders

import (
	"math"
	"time"

	"dykering/internal/placement"
	"dykering/internal/protocol"
)

// ageUnit is the unit of protocol.LoadLedgerSync.Ages.
const ageUnit = 10 * time.Millisecond

// HolderConfig configures a Holder.
type HolderConfig struct {
	// Window and Overshoot describe the rate limit of the store that weights are loaded from; see placement.NewLoadLedger.
	Window    time.Duration
	Overshoot float64
	// LeaseDuration is the maximum time for which a previous holder may have acted after its successor was agreed on.
	LeaseDuration time.Duration
}

// Holder is the placement state of a control process. While the process holds the placement lease, Holder keeps the ledger of
// loads and the orders. While another process holds it, Holder keeps the last state that the other one has sent, to continue
// from it at a change of the lease holder. A Holder is not safe for concurrent use.
type Holder struct {
	config      HolderConfig
	lease       Lease // the lease that this process holds, or has held last
	ledger      *placement.LoadLedger
	machine     *Machine
	predecessor receivedSync
}

// receivedSync is the last state that another lease holder has sent.
type receivedSync struct {
	token        uint64 // fencing token of the sender's lease; 0 if no state has been received
	receivedAt   time.Duration
	loadsStarted []time.Duration
	orders       []protocol.OrderInFlight
}

// Takeover describes the system to a new lease holder.
type Takeover struct {
	// AgreedAt is when the control processes agreed on this process as the lease holder. It may act only later.
	AgreedAt time.Duration
	// IsFirst is true if the system is new, so that its first lease holder has no predecessor.
	IsFirst bool
	// LoadsPerS are the rate limits of the services' stores, in loads per second.
	LoadsPerS []float64
	// Address returns the address of an endpoint. It returns an empty string if the endpoint has no session.
	Address func(endpoint string) string
}

// NewHolder returns the state of a process that has never held the lease.
func NewHolder(config HolderConfig) *Holder {
	ledger := placement.NewLoadLedger(config.Window, config.Overshoot)
	return &Holder{config: config, ledger: ledger, machine: New(ledger)}
}

// Orders returns the state machine of this process's orders.
func (h *Holder) Orders() *Machine { return h.machine }

// Lease returns the lease that this process holds, or has held last.
func (h *Holder) Lease() Lease { return h.lease }

// MayActUnder reports whether the lease permits this process to act now, and is the lease that its orders were planned under.
func (h *Holder) MayActUnder(lease Lease) bool { return lease.Held && lease.Token == h.lease.Token }

// AvailableLoads returns the number of loads of weights that may start now under a rate limit in loads per second.
func (h *Holder) AvailableLoads(now time.Duration, loadsPerS float64) int {
	return h.ledger.Available(now, loadsPerS)
}

// UpdateLease sets the current lease. It returns true if this process may act under the lease from now on and could not
// before. If the process regains the same lease, it continues its ledger and orders. If the lease is a new one, it takes over
// from the previous lease holder.
func (h *Holder) UpdateLease(now time.Duration, lease Lease, takeover func() Takeover) (acquired bool) {
	if !lease.Held {
		h.lease.Held = false
		return false
	}
	acquired = !h.lease.Held || lease.Token != h.lease.Token
	if lease.Token != h.lease.Token {
		h.takeOver(now, lease.Token, takeover())
	}
	h.lease = lease
	return acquired
}

// takeOver starts a new ledger with the loads that the previous lease holder has reported and those that it may have started
// between its last report and the end of its lease. It resets the orders to those that the previous lease holder is known to
// have had in flight.
func (h *Holder) takeOver(now time.Duration, token uint64, takeover Takeover) {
	h.ledger = placement.NewLoadLedger(h.config.Window, h.config.Overshoot)
	if !takeover.IsFirst || token > 1 {
		h.recordPredecessorLoads(now, takeover)
	}
	h.machine.Reset(now, h.ledger, h.ordersOfPredecessor(takeover.Address))
}

// recordPredecessorLoads records the reported and the possible loads of the previous lease holder in the new ledger.
func (h *Holder) recordPredecessorLoads(now time.Duration, takeover Takeover) {
	for _, started := range h.predecessor.loadsStarted {
		h.ledger.RecordStart(started)
	}
	predecessorStopped := min(takeover.AgreedAt+h.config.LeaseDuration, now)
	for _, rate := range takeover.LoadsPerS {
		if h.predecessor.token == 0 {
			h.ledger.AssumeFullWindow(now, rate)
			continue
		}
		h.ledger.AssumeUnreported(h.predecessor.receivedAt, predecessorStopped, rate)
	}
}

// ordersOfPredecessor returns the orders in flight of the previous lease holder, except at endpoints without a session.
func (h *Holder) ordersOfPredecessor(addressOf func(endpoint string) string) []InFlight {
	var inFlight []InFlight
	for _, order := range h.predecessor.orders {
		if address := addressOf(order.Endpoint); address != "" {
			inFlight = append(inFlight, InFlight{Order: placement.Order(order), Address: address})
		}
	}
	return inFlight
}

// Sync returns the state that the lease holder sends to its peers, one of which may be its successor. A successor without this
// state would have to assume that all loads permitted by the store's rate limit were started, and could start none for a
// window.
func (h *Holder) Sync(now time.Duration) protocol.LoadLedgerSync {
	sync := protocol.LoadLedgerSync{Token: h.lease.Token}
	for _, age := range h.ledger.Ages(now) {
		sync.Ages = append(sync.Ages, uint16(min(age/ageUnit, math.MaxUint16)))
	}
	for _, inFlight := range h.machine.InFlight() {
		sync.Orders = append(sync.Orders, protocol.OrderInFlight(inFlight.Order))
	}
	return sync
}

// ReceiveSync stores the state that the lease holder has sent. It ignores the state of an earlier lease. Since the message may
// have been sent at any time up to now, each load counts as started at the latest possible time.
func (h *Holder) ReceiveSync(now time.Duration, sync protocol.LoadLedgerSync) {
	if sync.Token < h.predecessor.token {
		return
	}
	h.predecessor = receivedSync{token: sync.Token, receivedAt: now, orders: sync.Orders}
	for _, age := range sync.Ages {
		h.predecessor.loadsStarted = append(h.predecessor.loadsStarted, now-time.Duration(age)*ageUnit)
	}
}
