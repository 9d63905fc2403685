package model

import "time"

// Clock is the time of a world, virtual or the wall's. What it has happen happens on one goroutine.
type Clock interface {
	Now() time.Duration
	// After has something happen when a time has passed.
	After(d time.Duration, do func())
}

// event is something that happens at a time; of those at one time, the first that was set.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// Heap is what is to happen, in the order of its times.
type Heap struct {
	seq  uint64
	heap []event
}

func (e event) before(f event) bool { return e.at < f.at || e.at == f.at && e.seq < f.seq }

// Add has something happen at a time.
func (c *Heap) Add(at time.Duration, do func()) {
	c.seq++
	c.heap = append(c.heap, event{at, c.seq, do})
	for i := len(c.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !c.heap[i].before(c.heap[up]) {
			break
		}
		c.heap[i], c.heap[up] = c.heap[up], c.heap[i]
		i = up
	}
}

// Next is when the next thing happens, and false when there is none.
func (c *Heap) Next() (at time.Duration, ok bool) {
	if len(c.heap) == 0 {
		return 0, false
	}
	return c.heap[0].at, true
}

// Take takes the next thing out.
func (c *Heap) Take() (at time.Duration, do func()) {
	e := c.heap[0]
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = event{}
	c.heap = c.heap[:last]
	for i := 0; ; {
		least := 2*i + 1
		if least >= last {
			break
		}
		if r := least + 1; r < last && c.heap[r].before(c.heap[least]) {
			least = r
		}
		if !c.heap[least].before(c.heap[i]) {
			break
		}
		c.heap[i], c.heap[least] = c.heap[least], c.heap[i]
		i = least
	}
	return e.at, e.do
}
