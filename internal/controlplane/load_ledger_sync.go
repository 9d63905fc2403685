package controlplane

import "time"

// ledgerBroadcastInterval is the time between two broadcasts of the load ledger by the lease holder.
const ledgerBroadcastInterval = 200 * time.Millisecond

// broadcastLedger tells the peers of the loads that this lease holder has started, and of its orders in flight.
func (c *placementController) broadcastLedger(now time.Duration) {
	if now < c.ledgerBroadcastDue {
		return
	}
	c.ledgerBroadcastDue = now + ledgerBroadcastInterval
	c.server.broadcast(c.holder.Sync(now))
}
