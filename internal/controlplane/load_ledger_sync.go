package controlplane

import (
	"math"
	"time"

	"dykering/internal/protocol"
)

const (
	// ledgerEvery is the time between two words of the holder to its peers on the loads that it has begun.
	ledgerBroadcastInterval = 200 * time.Millisecond
	// ageUnit is the unit of the ages of loads on their way.
	ageUnit = 10 * time.Millisecond
)

// heardLedger is the last that was heard of the loads of a holder.
type receivedLedger struct {
	token        uint64
	receivedAt   time.Duration
	loadsStarted []time.Duration
}

// shareLedger tells the peers of the loads that were begun, so that a successor need not assume that all were that may have
// been.
func (c *placementController) broadcastLedger(now time.Duration) {
	if now < c.ledgerBroadcastDue {
		return
	}
	c.ledgerBroadcastDue = now + ledgerBroadcastInterval
	share := protocol.LoadLedgerSync{Token: c.fencingToken}
	for _, age := range c.ledger.Ages(now) {
		share.Ages = append(share.Ages, uint16(min(age/ageUnit, math.MaxUint16)))
	}
	for _, peer := range c.server.peerAddresses() {
		c.server.send(peer, share)
	}
}

// hear takes a holder's word. A load is taken to have begun as late as it can have.
func (c *placementController) applyPeerLedger(now time.Duration, share protocol.LoadLedgerSync) {
	if share.Token < c.peerLedger.token {
		return
	}
	c.peerLedger = receivedLedger{token: share.Token, receivedAt: now}
	for _, age := range share.Ages {
		c.peerLedger.loadsStarted = append(c.peerLedger.loadsStarted, now-time.Duration(age)*ageUnit)
	}
}

// takeLedger begins the account of a new holder: with the loads of its predecessor that it has heard of, and those that the
// predecessor may have begun since, until its lease had ended.
func (c *placementController) rebuildLedger(now time.Duration, token uint64) {
	s := c.server
	c.ledger = newLedger(s)
	if !s.restoredFromDisk && token <= 1 {
		return
	}
	heard := c.peerLedger
	for _, begun := range heard.loadsStarted {
		c.ledger.RecordStart(begun)
	}
	until := min(s.chain.LeaseHolderSince()+s.timing.lease, now)
	for _, service := range c.modelServices() {
		if heard.token == 0 {
			c.ledger.AssumeFullWindow(now, service.Engine.LoadsPerS)
			continue
		}
		c.ledger.AssumeUnreported(heard.receivedAt, until, service.Engine.LoadsPerS)
	}
}
