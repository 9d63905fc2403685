package swim

import (
	"testing"
	"time"
)

// In fleets of several sizes, without message loss, all members detect each crash within the longest suspicion
// and a few probe intervals, no working member is declared dead, and all views agree after a partition has
// healed.
func TestMeasureDetectsCrashesAndHealsPartition(t *testing.T) {
	s := LAN()
	for _, n := range []int{5, 30, 100} {
		r := Measure(n, s, 5, 0, 7)
		bound := 6 * 4 * time.Duration(max(1, log10(n))) * s.ProbeInterval / 1 // the longest suspicion
		if r.Undetected > 0 || r.DetectP99 > bound+5*s.ProbeInterval || r.FalseDeathsPerMemberHour > 0 || r.Heal < 0 {
			t.Errorf("%d members: %+v", n, r)
		}
	}
}

func log10(n int) int {
	k := 0
	for ; n >= 10; n /= 10 {
		k++
	}
	return k
}
