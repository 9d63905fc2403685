package coresim

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// Failure is a schedule in which a guarantee is violated.
type Failure struct {
	Schedule Schedule
	Err      error
	// Played is the number of schedules that were run until the failure was found.
	Played uint64
}

// Search runs the generated schedules of count seeds, beginning with the seed first, in parallel until one fails or all have
// run. It calls progress, unless that is nil, after each thousand schedules. It returns nil if no schedule fails.
func Search(first, count uint64, flaw Flaw, progress func(played uint64)) *Failure {
	failure, _ := SearchWithCoverage(first, count, Options{Flaw: flaw}, progress)
	return failure
}

// SearchFlaw searches for a planted flaw. It enables the placement, the sessions or the coordination service if the flaw is
// one of theirs.
func SearchFlaw(first, count uint64, flaw Flaw) *Failure {
	options := Options{Flaw: flaw}
	switch flaw {
	case OrderWithoutLease, ForgetLedger:
		options.Placement = true
	case AckDepartureAtOnce, ServeBeforeSync:
		options.Sessions = true
	}
	options.Coordination = slices.Contains(coordinationFlaws, flaw)
	failure, _ := SearchWithCoverage(first, count, options, nil)
	return failure
}

// SearchWithCoverage does the same as Search and also returns which pairs the schedules have reached. It uses Flaw, Placement,
// Sessions and Coordination of the options; the other options are generated.
func SearchWithCoverage(first, count uint64, options Options, progress func(played uint64)) (*Failure, Coverage) {
	var mu sync.Mutex
	covered := Coverage{}
	var next, played atomic.Uint64
	var found atomic.Pointer[Failure]
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for found.Load() == nil {
				i := next.Add(1) - 1
				if i >= count {
					return
				}
				s := Generate(first+i, options.Flaw)
				s.Options.Placement, s.Options.Sessions = options.Placement, options.Sessions
				s.Options.Coordination = options.Coordination
				reached, err := s.runWithCoverage()
				n := played.Add(1)
				mu.Lock()
				covered.Add(reached)
				mu.Unlock()
				if err != nil {
					found.CompareAndSwap(nil, &Failure{Schedule: s, Err: err, Played: n})
					return
				}
				if progress != nil && n%1000 == 0 {
					progress(n)
				}
			}
		})
	}
	workers.Wait()
	return found.Load(), covered
}

// Shrink removes faults from a failing schedule, one at a time, until it no longer fails without any of the remaining ones.
func Shrink(f Failure) Failure {
	for removed := true; removed; {
		removed = false
		for i := range f.Schedule.Steps {
			smaller := f.Schedule
			smaller.Steps = slices.Delete(slices.Clone(f.Schedule.Steps), i, i+1)
			if err := smaller.Run(); err != nil {
				f.Schedule, f.Err, removed = smaller, err, true
				break
			}
		}
	}
	return f
}
