package controlplane

import "time"

// ledgerBroadcastInterval is the time between two broadcasts of the load ledger by the lease holder.
const ledgerBroadcastInterval = 200 * time.Millisecond

// broadcastLedger sends the peers the load ledger of this lease holder: the loads of weights that it has started, and
// its orders in flight.
func (c *placementController) broadcastLedger(now time.Duration) {
	if now < c.ledgerBroadcastDue {
		return
	}
	c.ledgerBroadcastDue = now + ledgerBroadcastInterval
	c.server.broadcast(c.holder.Sync(now))
}
