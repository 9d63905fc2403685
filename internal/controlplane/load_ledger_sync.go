package controlplane

import (
	"math"
	"time"

	"dykering/internal/protocol"
)

const (
	// ledgerEvery is the time between two words of the holder to its peers on the loads that it has begun.
	ledgerEvery = 200 * time.Millisecond
	// ageUnit is the unit of the ages of loads on their way.
	ageUnit = 10 * time.Millisecond
)

// heardLedger is the last that was heard of the loads of a holder.
type heardLedger struct {
	token uint64
	at    time.Duration
	begun []time.Duration
}

// shareLedger tells the peers of the loads that were begun, so that a successor need not assume that all were that may have
// been.
func (pl *placer) shareLedger(now time.Duration) {
	if now < pl.shareAt {
		return
	}
	pl.shareAt = now + ledgerEvery
	share := protocol.LedgerShare{Token: pl.token}
	for _, age := range pl.ledger.Ages(now) {
		share.Ages = append(share.Ages, uint16(min(age/ageUnit, math.MaxUint16)))
	}
	for _, peer := range pl.process.peers() {
		pl.process.send(peer, share)
	}
}

// hear takes a holder's word. A load is taken to have begun as late as it can have.
func (pl *placer) hear(now time.Duration, share protocol.LedgerShare) {
	if share.Token < pl.heard.token {
		return
	}
	pl.heard = heardLedger{token: share.Token, at: now}
	for _, age := range share.Ages {
		pl.heard.begun = append(pl.heard.begun, now-time.Duration(age)*ageUnit)
	}
}

// takeLedger begins the account of a new holder: with the loads of its predecessor that it has heard of, and those that the
// predecessor may have begun since, until its lease had ended.
func (pl *placer) takeLedger(now time.Duration, token uint64) {
	p := pl.process
	pl.ledger = newLedger(p)
	if !p.restored && token <= 1 {
		return
	}
	heard := pl.heard
	for _, begun := range heard.begun {
		pl.ledger.RecordStart(begun)
	}
	until := min(p.node.LeaseHolderSince()+p.timing.lease, now)
	for _, service := range pl.services() {
		if heard.token == 0 {
			pl.ledger.AssumeFullWindow(now, service.Engine.LoadsPerS)
			continue
		}
		pl.ledger.AssumeUnreported(heard.at, until, service.Engine.LoadsPerS)
	}
}
