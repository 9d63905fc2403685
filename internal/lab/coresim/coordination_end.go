package coresim

import (
	"fmt"
	"time"

	"dykering/internal/coordination"
)

// Times of the checks at the end of a run.
const (
	// settleTime is the time until calls in flight have ended and the holds of all locks have expired.
	settleTime = retryDuration + answerTimeout + maxCallDelay + maxHold + holdMargin + time.Second
	// readBackTime is the time for which a call without a definite answer is retried.
	readBackTime = 3 * time.Second
)

// checkCoordination checks, after the last fault, that no acknowledged operation of the coordination service is lost. It
// resumes all watches from their latest revisions, reads all cells, and requests each number and each lock.
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
		return fmt.Errorf("LOST: calls without a definite answer at the end of the run: %v %v", unanswered, resumed)
	}
	t.cells.checkAll()
	return t.violation()
}

// resumeWatches continues each watcher until it has received all revisions that any caller has seen. It returns the names of
// the watches that have not yet done so; each is removed when it has.
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

// readBackAll reads all cells, and requests each number and each lock. It returns the names of the calls without a successful
// answer yet; each is removed when it has one.
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

// probeLock acquires a lock under a new holder name. All holds have expired, so the lock must be granted.
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
