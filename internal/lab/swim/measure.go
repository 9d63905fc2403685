package swim

import (
	"slices"
	"time"

	"dykering/internal/fleet/membership"
)

// Result is what one size of fleet shows.
type Result struct {
	Members                int
	DetectP50, DetectP99   time.Duration // from a crash until all working members hold it dead
	Undetected             int           // crashes not seen by all within the time given them
	FalsePerMemberHour     float64       // suspicions of working members, under Loss
	FalseDeathsPerMemberHr float64       // declarations dead of working members, under Loss
	Loss                   float64
	Heal                   time.Duration // from the end of a cut until all views have the same digest; -1: never
	BytesPerMemberSecond   float64       // in calm
}

// Measure plays the three trials of FLEET-VIEW.md on a fleet of n: crashes one after another, a time of loss,
// and a cut of three fifths and two fifths for 30 s that heals.
func Measure(n int, s Settings, crashes int, loss float64, seed uint64) Result {
	r := Result{Members: n, Loss: loss}
	r.DetectP50, r.DetectP99, r.Undetected, r.BytesPerMemberSecond = detection(n, s, crashes, seed)
	r.FalsePerMemberHour, r.FalseDeathsPerMemberHr = falseRate(n, s, loss, seed+1)
	r.Heal = heal(n, s, seed+2)
	return r
}

const (
	warm      = 10 * time.Second // before anything befalls the fleet
	crashGap  = 30 * time.Second // between two crashes, each seen or given up by then
	lossTime  = time.Minute
	cutTime   = 30 * time.Second
	healLimit = 2 * time.Minute
)

func detection(n int, s Settings, crashes int, seed uint64) (p50, p99 time.Duration, undetected int, load float64) {
	f := New(n, s, seed)
	f.Run(warm)
	load = float64(f.Stats.Bytes) / float64(n) / warm.Seconds()
	victim, crashed, seen := -1, time.Duration(0), 0
	var took []time.Duration
	f.OnChange = func(_ int, c membership.Change) {
		if victim >= 0 && c.Member.State == membership.Dead && c.Member.ID == f.observation(victim, 0, 0).ID {
			if seen++; seen == n-crashedSoFar(f) { // all that work, the victim counted among the crashed
				took = append(took, f.Now()-crashed)
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
	undetected = min(crashes, n/2) - len(took)
	slices.Sort(took)
	if len(took) > 0 {
		p50, p99 = took[len(took)/2], took[min(len(took)-1, len(took)*99/100)]
	}
	return p50, p99, undetected, load
}

// crashedSoFar counts the members that do not run.
func crashedSoFar(f *Fleet) int {
	n := 0
	for i := range f.Size() {
		if !f.Up(i) {
			n++
		}
	}
	return n
}

func falseRate(n int, s Settings, loss float64, seed uint64) (suspicions, deaths float64) {
	f := New(n, s, seed)
	f.Run(warm)
	before := f.Stats
	f.Loss(loss)
	f.Run(warm + lossTime)
	hours := float64(n) * lossTime.Hours()
	return float64(f.Stats.FalseSuspicions-before.FalseSuspicions) / hours,
		float64(f.Stats.FalseDeaths-before.FalseDeaths) / hours
}

func heal(n int, s Settings, seed uint64) time.Duration {
	f := New(n, s, seed)
	f.Run(warm)
	sets := make([]int, n)
	for i := range sets {
		sets[i] = 1 + min(1, i*5/n/3) // three fifths in set 1, the rest in set 2
	}
	f.Cut(sets)
	f.Run(warm + cutTime)
	f.Cut(nil)
	healed := f.Now()
	for f.Now() < healed+healLimit {
		f.Run(f.Now() + 500*time.Millisecond)
		if same(f) {
			return f.Now() - healed
		}
	}
	return -1
}

// same tells whether all members' views have one digest, and all of them hold all alive.
func same(f *Fleet) bool {
	first := f.Digest(0)
	for i := 1; i < f.Size(); i++ {
		if f.Digest(i) != first {
			return false
		}
	}
	return true
}
