package configsoak

import (
	"time"

	"dykering/internal/lab/localprocess"
)

// timeline answers what happened to the processes of a run, and when.
type timeline struct {
	events []processEvent
}

func newTimeline(events []processEvent) *timeline { return &timeline{events: events} }

// isDisruption reports whether an action disrupts its process. The exit of a process that was told to stop is none of its own.
func isDisruption(action processAction) bool {
	return action != processHungUp && action != settingsChanged
}

// isDisrupted reports whether a process was not running or disrupted at some time between from and to.
func (t *timeline) isDisrupted(process string, from, to time.Duration) bool {
	running := false
	for _, e := range t.events {
		if e.process != process || e.at > to {
			continue
		}
		if e.at >= from && isDisruption(e.action) {
			return true
		}
		running = runsAfter(e.action, running)
	}
	return !running
}

// runsAfter reports whether a process runs after an action, given whether it ran before.
func runsAfter(action processAction, ranBefore bool) bool {
	switch action {
	case processStarted, processThawed:
		return true
	case processKilled, processFrozen, processExited, endedByItself, machineRemoved, machineVanished:
		return false
	}
	return ranBefore
}

// isCoreStable reports whether nothing happened to the core between from and to, and more than half of it ran.
func (t *timeline) isCoreStable(from, to time.Duration) bool {
	for _, e := range t.events {
		if e.role == localprocess.Control && e.at >= from && e.at <= to && isDisruption(e.action) {
			return false
		}
	}
	return t.coreRan(from, to)
}

// coreRan reports whether more than half of the core's machines ran at all times between from and to.
func (t *timeline) coreRan(from, to time.Duration) bool {
	running := map[string]bool{} // by machine of the core; a removed one is not part of it
	for _, e := range t.events {
		if e.role != localprocess.Control || e.at > to {
			continue
		}
		if e.at >= from && !isMajorityRunning(running) {
			return false
		}
		running[e.process] = runsAfter(e.action, running[e.process])
		if e.action == machineRemoved || e.action == machineVanished {
			delete(running, e.process)
		}
	}
	return isMajorityRunning(running)
}

func isMajorityRunning(running map[string]bool) bool {
	count := 0
	for _, runs := range running {
		if runs {
			count++
		}
	}
	return 2*count > len(running)
}

// life returns the number of starts of a process until a time.
func (t *timeline) life(process string, at time.Duration) int {
	starts := 0
	for _, e := range t.events {
		if e.process == process && e.action == processStarted && e.at <= at {
			starts++
		}
	}
	return starts
}
