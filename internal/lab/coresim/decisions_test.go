package coresim

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"strings"
	"testing"
	"time"

	"dykering/internal/fixture"
)

// testdata/schedules.txt holds the outcomes of the same schedules with the build of commit bfb03d8.

const (
	// goldenScheduleCount is the number of generated schedules that are compared.
	goldenScheduleCount = 30
	// singleFaultAt is the time of the only fault in the runs with many operations.
	singleFaultAt = 30 * time.Second
	// digestInterval is the virtual time between two digests of the machines' states.
	digestInterval = 250 * time.Millisecond
)

// rareSeeds are the seeds of schedules in which a view change is delayed because its proposer fails.
var rareSeeds = []uint64{203, 221, 275, 347}

// digestMachines adds the visible and the stored state of each machine to a digest.
func digestMachines(digest hash.Hash, w *Simulation) {
	for _, m := range w.machines {
		fmt.Fprintf(digest, "%s up %t removed %t life %d lost %d stored %d waiting %d\n", m.address, m.up, m.removed, m.incarnation, m.lostDisks,
			len(m.disk), len(m.queued))
		if !m.up {
			continue
		}
		view := m.node.View()
		fmt.Fprintf(digest, "view %d chain %q holder %q token %d former %q voters", view.Number, view.Chain, string(view.Holder), view.Token,
			view.FormerHolders)
		for _, voter := range view.Voters {
			fmt.Fprintf(digest, " %q", string(voter.ID))
		}
		token, holds := m.node.HoldsLease(w.now)
		fmt.Fprintf(digest, "\nsealed %t in chain %t committed %d known %t latest %d role %t %d confirmed %v\n", m.node.IsSealed(), m.node.IsInChain(),
			m.node.CommittedSeq(), m.node.IsCommitKnown(), m.node.LatestState().Seq, holds, token, m.node.QuorumConfirmedAt(w.now))
	}
}

// outcome describes the result of a simulation in one line. The number of events and the next random number depend on each
// message, record and request of the run, so a difference in any of them shows.
func outcome(w *Simulation, digest hash.Hash, broken error) string {
	c := w.checker
	return fmt.Sprintf("broken %t, %d events, next draw %016x, acknowledged %d, reads %d, refusals %d, holders %d, operations %d, digest %x\n",
		broken != nil, w.lastEvent, w.random.Uint64(), c.acks, c.reads, c.rejections, c.holders, len(c.order), digest.Sum(nil)[:8])
}

// runAndDigest runs a schedule, adds the state of the machines to a digest at each digestInterval, and returns the outcome.
func runAndDigest(s Schedule) string {
	w := NewSimulation(s.Options)
	injector := newFaultInjector(w, s.Overlap)
	var end time.Duration
	for _, fault := range s.Steps {
		end = max(end, fault.At+fault.For)
		w.at(fault.At, func() { injector.inject(fault) })
	}
	injector.watchProgress()
	digest := sha256.New()
	for until := digestInterval; until <= end+quietPeriod; until += digestInterval {
		if err := w.Run(until); err != nil {
			return outcome(w, digest, err)
		}
		digestMachines(digest, w)
	}
	return outcome(w, digest, nil)
}

// The members send, store and answer the same in these schedules as with the released build.
func TestDecisionsUnchangedSchedules(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(goldenScheduleCount) {
		fmt.Fprintf(&text, "seed %d: %s", seed, runAndDigest(Generate(seed, NoFlaw)))
	}
	for _, seed := range rareSeeds {
		fmt.Fprintf(&text, "seed %d: %s", seed, runAndDigest(Generate(seed, NoFlaw)))
	}
	for seed := range uint64(2) {
		options := Options{Seed: seed, Members: 5, MostFailures: 2, Busy: true}
		singleFault := Schedule{Options: options, Steps: []Fault{{At: singleFaultAt, Kind: Kill}}}
		fmt.Fprintf(&text, "busy seed %d: %s", seed, runAndDigest(singleFault))
	}
	fixture.Text(t, "testdata/schedules.txt", text.String())
}
