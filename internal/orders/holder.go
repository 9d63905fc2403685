package orders

import (
	"math"
	"time"

	"dykering/internal/placement"
	"dykering/internal/protocol"
)

// ageUnit is the unit of the ages in a protocol.LoadLedgerSync.
const ageUnit = 10 * time.Millisecond

// HolderConfig configures a Holder.
type HolderConfig struct {
	// Window and Overshoot describe the origin's rate limit; see placement.NewLoadLedger.
	Window    time.Duration
	Overshoot float64
	// LeaseDuration is how long a predecessor may have acted after its successor was agreed on.
	LeaseDuration time.Duration
}

// Holder is what a member of the core keeps as the lease holder of the placement, the ledger of loads and the orders, and what
// it keeps while it is not: what the present holder has told it. It is not safe for concurrent use.
type Holder struct {
	config      HolderConfig
	lease       Lease // that this member holds, or has held last
	ledger      *placement.LoadLedger
	machine     *Machine
	predecessor receivedSync
}

// receivedSync is what a lease holder has told last.
type receivedSync struct {
	token        uint64 // fencing token of its lease
	receivedAt   time.Duration
	loadsStarted []time.Duration
	orders       []protocol.OrderInFlight
}

// Takeover is what a new holder needs to know of the system.
type Takeover struct {
	// AgreedAt is when this member became the lease holder, before it could act.
	AgreedAt time.Duration
	// IsFirst is true for the first holder of a new system, which has no predecessor.
	IsFirst bool
	// LoadsPerS are the rate limits of the origins, in loads a second.
	LoadsPerS []float64
	// Address returns the address of an endpoint; empty if it has no session.
	Address func(endpoint string) string
}

// NewHolder returns a holder that has never held the lease.
func NewHolder(config HolderConfig) *Holder {
	ledger := placement.NewLoadLedger(config.Window, config.Overshoot)
	return &Holder{config: config, ledger: ledger, machine: New(ledger)}
}

// Orders returns the orders of this holder.
func (h *Holder) Orders() *Machine { return h.machine }

// Lease returns the lease that this member holds, or has held last.
func (h *Holder) Lease() Lease { return h.lease }

// MayActUnder reports whether this member may act now under the lease that its orders were planned under.
func (h *Holder) MayActUnder(lease Lease) bool { return lease.Held && lease.Token == h.lease.Token }

// AvailableLoads returns how many loads of weights may start now.
func (h *Holder) AvailableLoads(now time.Duration, loadsPerS float64) int {
	return h.ledger.Available(now, loadsPerS)
}

// UpdateLease takes the lease as it is now. It reports whether this member has just begun to act under it. Where the lease comes
// back before another member has had it, ledger and orders go on; else it takes over from the other one.
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

// takeOver rebuilds the ledger with what the predecessor may have loaded: the loads that it has told of, and as many as it may
// have started from then until its lease had expired. The orders that it is known to have had in flight are asked after.
func (h *Holder) takeOver(now time.Duration, token uint64, takeover Takeover) {
	h.ledger = placement.NewLoadLedger(h.config.Window, h.config.Overshoot)
	if !takeover.IsFirst || token > 1 {
		h.recordPredecessorLoads(now, takeover)
	}
	h.machine.Reset(now, h.ledger, h.ordersOfPredecessor(takeover.Address))
}

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

// ordersOfPredecessor returns the orders of the predecessor at endpoints that still have a session.
func (h *Holder) ordersOfPredecessor(addressOf func(endpoint string) string) []InFlight {
	var inFlight []InFlight
	for _, order := range h.predecessor.orders {
		if address := addressOf(order.Endpoint); address != "" {
			inFlight = append(inFlight, InFlight{Order: placement.Order(order), Address: address})
		}
	}
	return inFlight
}

// Sync returns what the holder tells its peers, one of which may be its successor. Without it a successor would have to assume
// that all loads were started which the origin's rate allows, and start none itself for a window.
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

// ReceiveSync stores what a holder tells, but for one of an earlier lease. The time on the way is not known: a load counts as
// started as late as it may have been.
func (h *Holder) ReceiveSync(now time.Duration, sync protocol.LoadLedgerSync) {
	if sync.Token < h.predecessor.token {
		return
	}
	h.predecessor = receivedSync{token: sync.Token, receivedAt: now, orders: sync.Orders}
	for _, age := range sync.Ages {
		h.predecessor.loadsStarted = append(h.predecessor.loadsStarted, now-time.Duration(age)*ageUnit)
	}
}
