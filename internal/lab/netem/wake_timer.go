package netem

import (
	"container/heap"
	"sync"
	"time"
)

// wakeTimer wakes connections at their times with one timer for all: most deadlines are moved long
// before they pass, and one runtime timer for each wait took a quarter of a run's time. A
// connection has one wake at most, its earliest; one that finds nothing to do registers again.
type wakeTimer struct {
	mu      sync.Mutex
	at      wakeHeap
	sooner  chan struct{} // holds one: the first wake is sooner than it was
	closed  chan struct{}
	running bool
}

type wake struct {
	at time.Time
	c  *Conn
}

type wakeHeap []wake

func (h wakeHeap) Len() int           { return len(h) }
func (h wakeHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h wakeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *wakeHeap) Push(x any)        { *h = append(*h, x.(wake)) }
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// arm wakes a connection at a time, unless it is woken earlier anyway.
func (w *wakeTimer) arm(c *Conn, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !c.wakeAt.IsZero() && !at.Before(c.wakeAt) {
		return
	}
	c.wakeAt = at
	heap.Push(&w.at, wake{at, c})
	if !w.running {
		w.running = true
		go w.run()
	}
	if w.at[0].at.Equal(at) {
		select {
		case w.sooner <- struct{}{}:
		default: // it is to look anyway
		}
	}
}

// run wakes connections until the network is closed.
func (w *wakeTimer) run() {
	for {
		// A new timer each time: to reset one has the runtime look through the whole heap of a bubble's timers.
		next := time.Hour
		now := time.Now()
		var due []*Conn
		w.mu.Lock()
		for len(w.at) > 0 && !w.at[0].at.After(now) {
			x := heap.Pop(&w.at).(wake)
			if x.c.wakeAt.Equal(x.at) {
				x.c.wakeAt = time.Time{}
				due = append(due, x.c)
			}
		}
		if len(w.at) > 0 {
			next = w.at[0].at.Sub(now)
		}
		w.mu.Unlock()
		for _, c := range due {
			c.wake()
		}
		timer := time.NewTimer(next)
		select {
		case <-timer.C:
		case <-w.sooner:
		case <-w.closed:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}
