package coresim

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// Failure is a schedule that breaks a promise.
type Failure struct {
	Schedule Schedule
	Err      error
	Played   uint64 // schedules until it was found
}

// Search plays drawn schedules in parallel until one fails or all are played. Progress is told now and then.
func Search(first, count uint64, flaw Flaw, progress func(played uint64)) *Failure {
	failure, _ := SearchWithCoverage(first, count, flaw, progress)
	return failure
}

// SearchCovering is Search that also tells which pairs the schedules have reached.
func SearchWithCoverage(first, count uint64, flaw Flaw, progress func(played uint64)) (*Failure, Coverage) {
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
				s := Generate(first+i, flaw)
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

// Shrink leaves out the troubles that a failure does not need.
func Shrink(f Failure) Failure {
	for again := true; again; {
		again = false
		for i := range f.Schedule.Steps {
			less := f.Schedule
			less.Steps = append(append([]Fault(nil), f.Schedule.Steps[:i]...), f.Schedule.Steps[i+1:]...)
			if err := less.Run(); err != nil {
				f.Schedule, f.Err, again = less, err, true
				break
			}
		}
	}
	return f
}
