package coresim

import (
	"fmt"
	"time"

	"dykering/internal/coordination"
)

// Times of the end of a run.
const (
	// settleTime is until when calls that are under way have ended, and the holds of all locks are over.
	settleTime = retryDuration + answerTimeout + maxCallDelay + maxHold + holdMargin + time.Second
	// readBackTime is how long each call of the end is repeated.
	readBackTime = 3 * time.Second
)

// checkCoordination checks, some time after the last fault, that what was acknowledged is there: cells are read, numbers and
// locks are asked for, and watches resume from the revisions that they have.
func (sim *Simulation) checkCoordination() error {
	t := sim.coordination
	if t == nil {
		return nil
	}
	t.stopping = true
	resumed, err := t.resumeWatches()
	if err != nil {
		return err
	}
	if err := sim.Run(sim.now + settleTime); err != nil {
		return err
	}
	unanswered := t.readBackAll()
	if err := sim.Run(sim.now + readBackTime + 2*answerTimeout); err != nil {
		return err
	}
	if len(unanswered) > 0 || len(resumed) > 0 {
		return fmt.Errorf("LOST: no answer at the end: %v %v", unanswered, resumed)
	}
	t.cells.checkAll()
	return t.violation()
}

// resumeWatches lets each watcher go on until it has all that was shown. It returns a set that is empty once all have.
func (t *coordinationTable) resumeWatches() (waiting map[string]bool, err error) {
	if err := t.sim.Run(t.sim.now + answerTimeout + watchWait + 2*time.Second); err != nil {
		return nil, err
	}
	waiting = map[string]bool{}
	for i, w := range t.watchers {
		name := fmt.Sprintf("watch %d of %s", i, w.group)
		target := t.cells.highestOfGroup[w.group]
		if w.after == 0 || w.after >= target {
			continue
		}
		waiting[name] = true
		var next func(coordinationAnswer)
		next = func(coordinationAnswer) {
			if w.after == 0 || w.after >= target {
				delete(waiting, name)
				return
			}
			w.watch(watchWait, next)
		}
		next(coordinationAnswer{})
	}
	return waiting, nil
}

// readBackAll reads all cells, and asks for each number and each lock. It returns a set that is empty once all have answered.
func (t *coordinationTable) readBackAll() (waiting map[string]bool) {
	waiting = map[string]bool{}
	start := func(name string, call func(done func(coordinationAnswer))) {
		waiting[name] = true
		call(func(answer coordinationAnswer) {
			if answer.isDefinite() && !answer.failed {
				delete(waiting, name)
			}
		})
	}
	for group := range groupCount {
		for cell := range cellsPerGroup {
			name := cellName(group, cell)
			start(name, func(done func(coordinationAnswer)) { t.read(name, readBackTime, done) })
		}
	}
	for number := range numberCount {
		name := fmt.Sprintf("n%d", number)
		start(name, func(done func(coordinationAnswer)) { t.requestNumber(name, readBackTime, done) })
	}
	for lock := range lockCount {
		name := fmt.Sprintf("l%d", lock)
		start(name, func(done func(coordinationAnswer)) { t.probeLock(name, done) })
	}
	return waiting
}

// probeLock takes a lock under a new name. All holds are over, so that it must be given.
func (t *coordinationTable) probeLock(lock string, done func(coordinationAnswer)) {
	t.lastProbe++
	c := &lockCaller{table: t, holder: fmt.Sprintf("probe%d", t.lastProbe), lock: lock, hold: maxHold}
	var floor uint64
	request := c.request(coordination.BeginLock, 0)
	request.onSend = func() { floor = t.locks.highestOfOthers(lock, c.holder) }
	t.callUntilDefinite(request, readBackTime, func(sentAt time.Duration, answer coordinationAnswer, _ bool) {
		if !answer.missing && !answer.failed {
			t.locks.recordGrant(lock, c.holder, answer.result.Token, floor)
			t.locks.recordHold(t.sim.now, lock, c.holder, sentAt+c.hold)
		}
		done(answer)
	})
}
