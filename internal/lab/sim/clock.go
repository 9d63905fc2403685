package sim

import "time"

// event is something that happens at a time; of those at one time, the first that was set.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// clock is virtual time: a heap of what is to happen.
type clock struct {
	now  time.Duration
	seq  uint64
	heap []event
}

func (e event) before(f event) bool { return e.at < f.at || e.at == f.at && e.seq < f.seq }

// after has something happen when a time has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	c.heap = append(c.heap, event{c.now + max(d, 0), c.seq, do})
	for i := len(c.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !c.heap[i].before(c.heap[up]) {
			break
		}
		c.heap[i], c.heap[up] = c.heap[up], c.heap[i]
		i = up
	}
}

// next lets the next thing happen, if it is not later than a time.
func (c *clock) next(until time.Duration) bool {
	if len(c.heap) == 0 || c.heap[0].at > until {
		return false
	}
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
	c.now = e.at
	e.do()
	return true
}
