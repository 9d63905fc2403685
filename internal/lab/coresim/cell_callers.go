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
	// readFraction is the mean number of calls on cells of which one is a read.
	readFraction = 3
	// singlePutFraction is the mean number of puts of which one is sent once alone.
	singlePutFraction = 3
	watchWait         = 700 * time.Millisecond
)

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

// takeNumber asks for a value of a number until there is one, and checks it.
func (t *coordinationTable) takeNumber(name string, done func(coordinationAnswer)) {
	if t.stopping {
		return
	}
	t.requestNumber(name, retryDuration, done)
}

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

// nextCellCall makes a put or a read of a cell drawn at random.
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

// put puts a new value, in one of two cases on the condition that the cell has the latest revision that was shown. The call is
// sent again with the same value until there is a clear answer, and now and then once more; some callers send it once alone, so
// that a promise that nothing was done is never made up for by a later call.
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

// read reads a cell and checks the result.
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

// watcher follows the puts of a group, at whatever machine answers.
type watcher struct {
	table *coordinationTable
	group string
	// after is the revision up to which it has all puts, and givenAt when it was last given that.
	after   uint64
	givenAt time.Duration
}

// next makes the next call.
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

// pause pauses before the next call, now and then for so long that the history may be gone.
func (w *watcher) pause(coordinationAnswer) {
	t := w.table
	pause := t.duration(0, maxCallPause/4)
	if t.oneIn(30) {
		pause = t.duration(0, 3*historyS)
	}
	t.sim.after(pause, w.next)
}

// ask asks for the present revision of the group, from which it goes on.
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

// watch asks for the puts above the revision that it has.
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
