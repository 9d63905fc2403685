package coresim

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// at has something happen at a time.
func (w *Simulation) at(when time.Duration, do func()) {
	w.lastEvent++
	heap.Push(&w.events, event{at: max(when, w.now), order: w.lastEvent, run: do})
}

func (w *Simulation) after(d time.Duration, do func()) { w.at(w.now+d, do) }
