package fleetscale

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// restartShare is the part of the sidecars that restart while changes go out: 81 of 340.
	restartShare = 81.0 / 340
	// restartsOver is the time over which they do.
	restartsOver = 2 * time.Second
)

// restarts has a part of the sidecars restart while changes go out, and measures both.
func (r *run) restarts(ctx context.Context, report *Report) error {
	restarting := r.sidecars[:int(restartShare*float64(len(r.sidecars)))]
	for _, s := range restarting {
		after := rand.N(restartsOver)
		go func() {
			select {
			case <-ctx.Done():
			case <-time.After(after):
				s.restart()
			}
		}()
	}
	began := time.Now()
	var force []time.Duration
	for time.Since(began) < restartsOver {
		times, err := r.change(ctx)
		if err != nil {
			return err
		}
		force = append(force, times...)
	}
	var ready []time.Duration
	err := wait(ctx, startWithin, "restarted sidecars to be ready", func() bool {
		ready = ready[:0]
		for _, s := range restarting {
			if took, again := s.restarted(); again {
				ready = append(ready, took)
			}
		}
		return len(ready) == len(restarting)
	})
	report.RestartChange, report.RestartReady = timesOf(force), timesOf(ready)
	return err
}
