// Package pause has the interruptible wait of the laboratory's scenarios.
package pause

import "time"

// For waits for a duration. It returns false if done is closed meanwhile.
func For(done <-chan struct{}, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-done:
		return false
	case <-timer.C:
		return true
	}
}
