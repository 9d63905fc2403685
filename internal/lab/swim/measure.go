package swim

import (
	"slices"
	"time"

	"dykering/internal/fleet/membership"
)

// Result is what was measured for one size of fleet.
type Result struct {
	Members              int
	DetectP50, DetectP99 time.Duration // from a crash until all working members hold it dead
	// Crashes that not all members detected in the time given.
	Undetected               int
	FalsePerMemberHour       float64 // suspicions of working members, under Loss
	FalseDeathsPerMemberHour float64 // declarations dead of working members, under Loss
	Loss                     float64
	// From the end of a partition until all views have the same digest; -1 for never.
	Heal time.Duration
	// Without faults.
	BytesPerMemberSecond float64
}

// Measure runs the three trials of FLEET-VIEW.md on a fleet of n members: crashes one after
// another, a time of loss, and a partition into three fifths and two fifths for 30 s that heals.
func Measure(n int, s Settings, crashes int, loss float64, seed uint64) Result {
	r := Result{Members: n, Loss: loss}
	r.DetectP50, r.DetectP99, r.Undetected, r.BytesPerMemberSecond = measureDetection(n, s, crashes, seed)
	r.FalsePerMemberHour, r.FalseDeathsPerMemberHour = measureFalseRate(n, s, loss, seed+1)
	r.Heal = measureHeal(n, s, seed+2)
	return r
}

const (
	// Before the first fault.
	warmUpTime = 10 * time.Second
	// Between two crashes; each is detected or given up by then.
	crashGap      = 30 * time.Second
	lossTime      = time.Minute
	partitionTime = 30 * time.Second
	healLimit     = 2 * time.Minute
)

func measureDetection(n int, s Settings, crashes int, seed uint64) (p50, p99 time.Duration, undetected int, load float64) {
	f := New(n, s, seed)
	f.Run(warmUpTime)
	load = float64(f.Stats.Bytes) / float64(n) / warmUpTime.Seconds()
	victim, crashed, seen := -1, time.Duration(0), 0
	var durations []time.Duration
	f.OnChange = func(_ int, c membership.Change) {
		if victim >= 0 && c.Member.State == membership.Dead && c.Member.ID == f.observation(victim, 0, 0).ID {
			if seen++; seen == n-countNotWorking(f) { // all that work, the victim counted among the crashed
				durations = append(durations, f.Now()-crashed)
			}
		}
	}
	for k := range min(crashes, n/2) {
		victim, seen = (k*7919+int(seed))%n, 0
		for !f.Up(victim) {
			victim = (victim + 1) % n
		}
		crashed = f.Now()
		f.Crash(victim)
		f.Run(crashed + crashGap)
	}
	undetected = min(crashes, n/2) - len(durations)
	slices.Sort(durations)
	if len(durations) > 0 {
		p50, p99 = durations[len(durations)/2], durations[min(len(durations)-1, len(durations)*99/100)]
	}
	return p50, p99, undetected, load
}

// countNotWorking counts the members that are not working.
func countNotWorking(f *Fleet) int {
	n := 0
	for i := range f.Size() {
		if !f.Up(i) {
			n++
		}
	}
	return n
}

func measureFalseRate(n int, s Settings, loss float64, seed uint64) (suspicions, deaths float64) {
	f := New(n, s, seed)
	f.Run(warmUpTime)
	before := f.Stats
	f.Loss(loss)
	f.Run(warmUpTime + lossTime)
	hours := float64(n) * lossTime.Hours()
	return float64(f.Stats.FalseSuspicions-before.FalseSuspicions) / hours,
		float64(f.Stats.FalseDeaths-before.FalseDeaths) / hours
}

func measureHeal(n int, s Settings, seed uint64) time.Duration {
	f := New(n, s, seed)
	f.Run(warmUpTime)
	sets := make([]int, n)
	for i := range sets {
		sets[i] = 1 + min(1, i*5/n/3) // three fifths in set 1, the rest in set 2
	}
	f.SetPartition(sets)
	f.Run(warmUpTime + partitionTime)
	f.SetPartition(nil)
	healed := f.Now()
	for f.Now() < healed+healLimit {
		f.Run(f.Now() + 500*time.Millisecond)
		if viewsAgree(f) {
			return f.Now() - healed
		}
	}
	return -1
}

// viewsAgree reports whether the views of all members have the same digest.
func viewsAgree(f *Fleet) bool {
	first := f.Digest(0)
	for i := 1; i < f.Size(); i++ {
		if f.Digest(i) != first {
			return false
		}
	}
	return true
}
