package controlplane

import (
	"math"
	"time"

	"dykering/internal/protocol"
)

const (
	// ledgerBroadcastInterval is the time between two broadcasts of the load ledger by the lease holder.
	ledgerBroadcastInterval = 200 * time.Millisecond
	// ageUnit is the unit of the ages in a protocol.LoadLedgerSync.
	ageUnit = 10 * time.Millisecond
)

// receivedLedger is the last load ledger that a lease holder has broadcast.
type receivedLedger struct {
	token        uint64 // fencing token of its lease
	receivedAt   time.Duration
	loadsStarted []time.Duration
}

// broadcastLedger sends the peers the loads of weights that this lease holder has started. Without that a successor would
// have to assume that all were started which the origin's rate allows, and start none itself for a window.
func (c *placementController) broadcastLedger(now time.Duration) {
	if now < c.ledgerBroadcastDue {
		return
	}
	c.ledgerBroadcastDue = now + ledgerBroadcastInterval
	sync := protocol.LoadLedgerSync{Token: c.fencingToken}
	for _, age := range c.ledger.Ages(now) {
		sync.Ages = append(sync.Ages, uint16(min(age/ageUnit, math.MaxUint16)))
	}
	c.server.broadcast(sync)
}

// applyPeerLedger stores the ledger of a lease holder, but for one of an earlier lease. The time on the way is not known: a
// load counts as started as late as it may have been.
func (c *placementController) applyPeerLedger(now time.Duration, sync protocol.LoadLedgerSync) {
	if sync.Token < c.peerLedger.token {
		return
	}
	c.peerLedger = receivedLedger{token: sync.Token, receivedAt: now}
	for _, age := range sync.Ages {
		c.peerLedger.loadsStarted = append(c.peerLedger.loadsStarted, now-time.Duration(age)*ageUnit)
	}
}

// rebuildLedger makes the ledger of a new lease holder: the loads that its predecessor has broadcast, and as many as it may
// have started from then until its lease had expired. The first holder of a new system has no predecessor.
func (c *placementController) rebuildLedger(now time.Duration, token uint64) {
	s := c.server
	c.ledger = newLedger(s)
	if !s.restoredFromDisk && token <= 1 {
		return
	}
	received := c.peerLedger
	for _, started := range received.loadsStarted {
		c.ledger.RecordStart(started)
	}
	predecessorStopped := min(s.chain.LeaseHolderSince()+s.timing.lease, now)
	for _, service := range c.modelServices() {
		if received.token == 0 {
			c.ledger.AssumeFullWindow(now, service.Engine.LoadsPerS)
			continue
		}
		c.ledger.AssumeUnreported(received.receivedAt, predecessorStopped, service.Engine.LoadsPerS)
	}
}
