package swim

import (
	"slices"
	"time"

	"dykering/internal/fleet/membership"
)

// Result contains the measurements for one size of fleet.
type Result struct {
	Members int
	// DetectP50 and DetectP99 are percentiles of the time from a crash until all working members consider the
	// crashed member dead.
	DetectP50, DetectP99 time.Duration
	// Undetected counts the crashes that not all members detected before the next crash.
	Undetected int
	// FalsePerMemberHour and FalseDeathsPerMemberHour are the rates at which working members are suspected or
	// declared dead while messages are lost.
	FalsePerMemberHour       float64
	FalseDeathsPerMemberHour float64
	// Loss is the share of messages that are lost in the trial that measures these two rates.
	Loss float64
	// Heal is the time from the end of a partition until all views have the same digest; -1 if they do not
	// agree within healLimit.
	Heal time.Duration
	// BytesPerMemberSecond is the gossip traffic without faults.
	BytesPerMemberSecond float64
}

// Measure runs three trials on a fleet of n members: crashes one after another, a time with message loss, and a
// partition into three fifths and two fifths of the members that heals after 30 s.
func Measure(n int, s Settings, crashes int, loss float64, seed uint64) Result {
	r := Result{Members: n, Loss: loss}
	r.DetectP50, r.DetectP99, r.Undetected, r.BytesPerMemberSecond = measureDetection(n, s, crashes, seed)
	r.FalsePerMemberHour, r.FalseDeathsPerMemberHour = measureFalseRate(n, s, loss, seed+1)
	r.Heal = measureHeal(n, s, seed+2)
	return r
}

const (
	// warmUpTime is the time before the first fault.
	warmUpTime = 10 * time.Second
	// crashGap is the time between two crashes, within which a crash must be detected.
	crashGap = 30 * time.Second
	// lossTime is the duration of the message loss.
	lossTime      = time.Minute
	partitionTime = 30 * time.Second
	// healLimit is the time after the partition within which all views must agree.
	healLimit = 2 * time.Minute
)

// measureDetection returns percentiles of the detection time of crashes, the number of undetected ones, and the
// traffic in bytes per member and second before the first crash.
func measureDetection(n int, s Settings, crashes int, seed uint64) (p50, p99 time.Duration, undetected int, load float64) {
	f := New(n, s, seed)
	f.Run(warmUpTime)
	load = float64(f.Stats.Bytes) / float64(n) / warmUpTime.Seconds()
	victim, crashed, seen := -1, time.Duration(0), 0
	var durations []time.Duration
	f.OnChange = func(_ int, c membership.Change) {
		if victim >= 0 && c.Member.State == membership.Dead && c.Member.ID == f.observation(victim, 0, 0).ID {
			if seen++; seen == n-countNotWorking(f) { // all working members; the victim is not one of them
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

// measureFalseRate returns the false suspicions and false declarations of death per member and hour, with a
// share of messages lost.
func measureFalseRate(n int, s Settings, loss float64, seed uint64) (suspicions, deaths float64) {
	f := New(n, s, seed)
	f.Run(warmUpTime)
	before := f.Stats
	f.SetLoss(loss)
	f.Run(warmUpTime + lossTime)
	hours := float64(n) * lossTime.Hours()
	return float64(f.Stats.FalseSuspicions-before.FalseSuspicions) / hours,
		float64(f.Stats.FalseDeaths-before.FalseDeaths) / hours
}

// measureHeal returns the time from the end of a partition until all views agree, or -1.
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
