package coresim

import (
	"container/heap"
	"time"
)

// event is a function that runs at a point in virtual time.
type event struct {
	at time.Duration
	// number orders events with the same time by the order in which they were scheduled.
	number uint64
	run    func()
}

// eventQueue is a heap of events, the earliest first. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// at schedules a function for a time, or for now if that time has passed.
func (sim *Simulation) at(when time.Duration, run func()) {
	sim.lastEvent++
	heap.Push(&sim.events, event{at: max(when, sim.now), number: sim.lastEvent, run: run})
}

// after schedules a function to run after a delay.
func (sim *Simulation) after(delay time.Duration, run func()) { sim.at(sim.now+delay, run) }
