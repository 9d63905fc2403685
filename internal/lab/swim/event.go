package swim

import (
	"time"
)

// event is a scheduled event of the simulation.
type event struct {
	at          time.Duration
	kind        int
	from, to    int
	target, seq uint64
	updates     []update
	id          int // defines the order of events at the same time
}

// events is a heap of events, the earliest first.
type events []*event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].id < e[j].id
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
