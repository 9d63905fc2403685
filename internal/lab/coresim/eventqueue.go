package coresim

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// at has something happen at a time.
func (w *World) at(when time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: max(when, w.now), order: w.order, do: do})
}

func (w *World) after(d time.Duration, do func()) { w.at(w.now+d, do) }
