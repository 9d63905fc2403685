package coresim

import (
	"fmt"
	"time"

	"dykering/internal/coordination"
	"dykering/internal/errkind"
)

// The load on numbers, cells and watches.
const (
	numberCount       = 2
	numberCallerCount = 2
	writerCount       = 3
	watcherCount      = 3
	groupCount        = 2
	cellsPerGroup     = 3
	maxCallPause      = 400 * time.Millisecond
	// One in readFraction calls on cells is a read.
	readFraction = 3
	// One in singlePutFraction puts is sent without retries.
	singlePutFraction = 3
	// One in longPauseFraction pauses of a watcher lasts up to 3 * historyDuration.
	longPauseFraction = 30
	// watchWait is the time for which a watch waits for an event.
	watchWait = 700 * time.Millisecond
)

// startNumberCallers starts callers that request values of random numbers.
func (t *coordinationTable) startNumberCallers() {
	var next func()
	next = func() {
		name := fmt.Sprintf("n%d", t.random.IntN(numberCount))
		t.takeNumber(name, func(coordinationAnswer) { t.sim.after(t.duration(0, maxCallPause), next) })
	}
	for range numberCallerCount {
		t.sim.after(t.duration(0, maxCallPause), next)
	}
}

// takeNumber requests and checks a value of a number, unless the run is at its end.
func (t *coordinationTable) takeNumber(name string, done func(coordinationAnswer)) {
	if t.stopping {
		return
	}
	t.requestNumber(name, retryDuration, done)
}

// requestNumber requests a value of a number, with retries, and checks it.
func (t *coordinationTable) requestNumber(name string, retryFor time.Duration, done func(coordinationAnswer)) {
	var floor uint64
	request := coordinationRequest{
		command: &coordination.Command{Operation: coordination.NextNumber, Name: name},
		onSend:  func() { floor = t.numbers.highest[name] },
	}
	t.callUntilDefinite(request, retryFor, func(_ time.Duration, answer coordinationAnswer, _ bool) {
		if !answer.missing && !answer.failed {
			t.numbers.recordNumber(name, answer.result.Number, floor)
		}
		done(answer)
	})
}

// startCellCallers starts the callers that put and read cells, and the watchers.
func (t *coordinationTable) startCellCallers() {
	for range writerCount {
		t.sim.after(t.duration(0, maxCallPause), t.nextCellCall)
	}
	for i := range watcherCount {
		w := &watcher{table: t, group: groupName(i % groupCount)}
		t.watchers = append(t.watchers, w)
		t.sim.after(t.duration(0, maxCallPause), w.next)
	}
}

func groupName(i int) string { return fmt.Sprintf("g%d.", i) }

func cellName(group, cell int) string { return fmt.Sprintf("%s%d", groupName(group), cell) }

// nextCellCall puts or reads a random cell.
func (t *coordinationTable) nextCellCall() {
	if t.stopping {
		return
	}
	cell := cellName(t.random.IntN(groupCount), t.random.IntN(cellsPerGroup))
	done := func(coordinationAnswer) { t.sim.after(t.duration(0, maxCallPause), t.nextCellCall) }
	if t.oneIn(readFraction) {
		t.read(cell, retryDuration, done)
		return
	}
	t.put(cell, done)
}

// put puts a new value. In half of the cases the put has the condition that the cell still has the latest revision that was
// shown. The call is retried with the same value until there is a definite answer, and is sometimes repeated even after that.
// Some puts are sent without retries: a retry that succeeds would hide a wrong answer by which the put was not executed.
func (t *coordinationTable) put(cell string, done func(coordinationAnswer)) {
	t.lastValue++
	put := putRecord{cell: cell, value: fmt.Sprintf("v%d", t.lastValue), conditional: t.oneIn(2)}
	if put.conditional {
		put.ifRevision = t.cells.highestOfCell[cell]
	}
	t.cells.begin(put)
	retryFor := retryDuration
	if t.oneIn(singlePutFraction) {
		retryFor = 0
	}
	t.sendPut(put, retryFor, func(answer coordinationAnswer) {
		if t.oneIn(resendFraction) && !answer.failed && !answer.missing {
			t.sim.after(t.duration(0, maxCallPause), func() { t.sendPut(put, retryFor, done) })
			return
		}
		done(answer)
	})
}

// sendPut sends a put, with retries, and passes its outcome to the checker.
func (t *coordinationTable) sendPut(put putRecord, retryFor time.Duration, done func(coordinationAnswer)) {
	var floor uint64
	request := coordinationRequest{
		command: &coordination.Command{
			Operation:   coordination.PutCell,
			Name:        put.cell,
			Value:       put.value,
			Conditional: put.conditional,
			IfRevision:  put.ifRevision,
		},
		onSend: func() { floor = t.cells.highestOfCell[put.cell] },
	}
	t.callUntilDefinite(request, retryFor, func(_ time.Duration, answer coordinationAnswer, certain bool) {
		switch {
		case !answer.missing && !answer.failed:
			t.cells.acknowledge(put.value, answer.result.Revision)
		case answer.isRejection() && answer.kind == errkind.RevisionConflict:
			t.cells.reject(put.value)
			t.cells.checkConflict(put.value, answer.result.Revision, floor)
		case certain && t.cells.puts[put.value].acknowledged == 0:
			t.cells.reject(put.value)
		}
		done(answer)
	})
}

// read reads a cell, with retries, and checks the result.
func (t *coordinationTable) read(cell string, retryFor time.Duration, done func(coordinationAnswer)) {
	var floor uint64
	request := coordinationRequest{cell: cell, onSend: func() { floor = t.cells.highestOfCell[cell] }}
	t.callUntilDefinite(request, retryFor, func(_ time.Duration, answer coordinationAnswer, _ bool) {
		if !answer.missing && !answer.failed {
			t.cells.checkRead(cell, answer.result, floor)
		}
		done(answer)
	})
}

// watcher follows the puts of a group by watches at random machines.
type watcher struct {
	table *coordinationTable
	group string
	// after is the revision up to which the watcher has received all puts; 0 if it has to read the present revision first.
	// givenAt is the time at which it last received a revision.
	after   uint64
	givenAt time.Duration
}

// next sends the next watch, or reads the present revision of the group if the watcher has none.
func (w *watcher) next() {
	if w.table.stopping {
		return
	}
	if w.after == 0 {
		w.readRevision(retryDuration, w.pause)
		return
	}
	w.watch(watchWait, w.pause)
}

// pause schedules the next call. Some pauses are so long that the history may no longer contain the watcher's revision.
func (w *watcher) pause(coordinationAnswer) {
	t := w.table
	pause := t.duration(0, maxCallPause/4)
	if t.oneIn(longPauseFraction) {
		pause = t.duration(0, 3*historyDuration)
	}
	t.sim.after(pause, w.next)
}

// readRevision reads the present revision of the group, from which the watcher continues.
func (w *watcher) readRevision(retryFor time.Duration, done func(coordinationAnswer)) {
	t := w.table
	var floor uint64
	request := coordinationRequest{group: w.group, onSend: func() { floor = t.cells.highestOfGroup[w.group] }}
	t.callUntilDefinite(request, retryFor, func(_ time.Duration, answer coordinationAnswer, _ bool) {
		if !answer.missing && !answer.failed {
			t.cells.checkGroup(w.group, answer.result.Revision, floor)
			w.after, w.givenAt = answer.result.Revision, t.sim.now
		}
		done(answer)
	})
}

// watch requests the puts after the watcher's revision.
func (w *watcher) watch(wait time.Duration, done func(coordinationAnswer)) {
	t := w.table
	request := coordinationRequest{watch: &coordination.Watch{Group: w.group, After: w.after, Deadline: wait}}
	t.call(request, func(answer coordinationAnswer) {
		switch {
		case answer.missing:
		case answer.failed && answer.kind == errkind.HistoryGone:
			t.cells.checkHistoryGone(t.sim.now, w.group, w.after, w.givenAt)
			w.after = 0
		case !answer.failed:
			t.cells.checkWatch(w.group, w.after, answer.result.Revision, answer.events)
			w.after, w.givenAt = answer.result.Revision, t.sim.now
		}
		done(answer)
	})
}
