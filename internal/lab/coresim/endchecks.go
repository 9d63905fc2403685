package coresim

import (
	"fmt"
)

// checkEnd checks that the core has recovered from the last fault: operations are acknowledged, all members have caught up,
// and every acknowledged operation is on enough disks. It also checks the sessions, the coordination service and the
// placement, if the simulation has them.
func (sim *Simulation) checkEnd() error {
	if !sim.MakesProgress(progressTimeout) {
		if sim.checker.violation != nil {
			return sim.checker.violation
		}
		return fmt.Errorf("nothing is acknowledged within %v without faults; views: %+v", progressTimeout, sim.Views())
	}
	if err := sim.checkCaughtUp(); err != nil {
		return err
	}
	sim.checkReplicas(nil)
	if sim.checker.violation != nil {
		return sim.checker.violation
	}
	if err := sim.checkSessions(); err != nil {
		return err
	}
	if err := sim.checkCoordination(); err != nil {
		return err
	}
	return sim.checkPlacement()
}

// checkCaughtUp checks that every running member is in the chain of the latest view.
func (sim *Simulation) checkCaughtUp() error {
	var latest uint64
	for _, m := range sim.runningMachines() {
		latest = max(latest, m.node.View().Number)
	}
	for _, m := range sim.runningMachines() {
		if view := m.node.View(); view.Number < latest || !m.node.IsInChain() {
			return fmt.Errorf("member %s has not caught up: it has view %d, the latest is %d", m.address, view.Number, latest)
		}
	}
	return nil
}

// checkReplicas checks that the acknowledged operations are on MostFailures + 1 disks, so that they survive the loss of
// MostFailures more. The disk of left, a member that has just left (nil for none), does not count. Each disk that was lost
// and has not caught up reduces the required number by one.
func (sim *Simulation) checkReplicas(left *machine) {
	acked := 0
	for _, number := range sim.checker.acked {
		acked = max(acked, sim.checker.position[number]+1)
	}
	replicas, lost := 0, 0
	for _, m := range sim.machines {
		if m.removed || m == left {
			continue
		}
		switch {
		case m.persistedOperations() >= acked:
			replicas++
		case m.lostDisks > 0 || m.isReplacement:
			lost++
		}
	}
	required := max(sim.options.MostFailures+1-lost, 1)
	if replicas < required {
		sim.checker.fail("%d operations are acknowledged, and %d disks hold them all, with %d lost", acked, replicas, lost)
	}
}
