package netem

import (
	"container/heap"
	"sync"
	"time"
)

// wakeTimer wakes connections at given times with a single runtime timer. Most deadlines are moved long
// before they pass, and a runtime timer for each wait took a quarter of the time of a run. A connection
// has at most one valid wake, the earliest. A waiting call that is woken too early registers again.
type wakeTimer struct {
	mu    sync.Mutex
	wakes wakeHeap
	// Has capacity 1; signals that the first wake is now earlier than before.
	earlier chan struct{}
	closed  chan struct{}
	running bool
}

// wake is a time at which a connection is woken. It is obsolete if the connection's wakeAt differs.
type wake struct {
	at time.Time
	c  *Conn
}

// wakeHeap is a heap of wakes, ordered by time.
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

// arm registers a wake of a connection at a time, unless the connection has an earlier one.
func (w *wakeTimer) arm(c *Conn, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !c.wakeAt.IsZero() && !at.Before(c.wakeAt) {
		return
	}
	c.wakeAt = at
	heap.Push(&w.wakes, wake{at, c})
	if !w.running {
		w.running = true
		go w.run()
	}
	if w.wakes[0].at.Equal(at) {
		select {
		case w.earlier <- struct{}{}:
		default: // a signal is pending already
		}
	}
}

// run wakes connections until the network is closed.
func (w *wakeTimer) run() {
	for {
		next := time.Hour
		now := time.Now()
		var due []*Conn
		w.mu.Lock()
		for len(w.wakes) > 0 && !w.wakes[0].at.After(now) {
			first := heap.Pop(&w.wakes).(wake)
			if first.c.wakeAt.Equal(first.at) {
				first.c.wakeAt = time.Time{}
				due = append(due, first.c)
			}
		}
		if len(w.wakes) > 0 {
			next = w.wakes[0].at.Sub(now)
		}
		w.mu.Unlock()
		for _, c := range due {
			c.wake()
		}
		// A new timer each time: Reset makes the runtime search the whole heap of a synctest bubble's timers.
		timer := time.NewTimer(next)
		select {
		case <-timer.C:
		case <-w.earlier:
		case <-w.closed:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}
