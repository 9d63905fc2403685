package coordinationload

import (
	"context"
	"time"
)

// schedule determines when the operations of an open loop are due, evenly spaced.
type schedule struct {
	perSecond float64
	duration  time.Duration
}

// due returns the time at which an operation is due, relative to the start of the load. It is computed from the number of the
// operation, so that rounding errors do not accumulate.
func (s schedule) due(number int) time.Duration {
	return time.Duration(float64(number) / s.perSecond * float64(time.Second))
}

// play calls start for each operation once it is due, and at once for an overdue operation, until the duration is over or the
// context ends.
func (s schedule) play(ctx context.Context, began time.Time, start func(number int, due time.Time)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for number := 0; s.due(number) < s.duration; number++ {
		due := began.Add(s.due(number))
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return
		}
		start(number, due)
	}
}
