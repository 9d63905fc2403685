package orders

import "time"

// Delays and expected durations of the state machine.
const (
	// unloadDelay is the time between the publication of an unload and its order. In this time, the proxies receive the
	// publication and stop sending requests for the model to the endpoint.
	unloadDelay = 30 * time.Millisecond
	// MaxReportAge is the maximum age of the state that an endpoint reports.
	MaxReportAge = 300 * time.Millisecond
	// adapterLoadTime is the expected duration of a load of an adapter and of any unload.
	adapterLoadTime = 25 * time.Millisecond
	// maxConflictRetries is how often an order is retried after a conflict, which occurs while another order is still ending
	// at the endpoint.
	maxConflictRetries = 5
	// conflictBackoff is the pause before each of these retries.
	conflictBackoff = 60 * time.Millisecond
	// minPollInterval and maxPollInterval bound the time between two report calls for an order that takes longer than expected.
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
	// pollIntervalDivisor is the divisor of the overdue time that gives the time until the next report call.
	pollIntervalDivisor = 8
)

// pollInterval returns the time until the next report call for an order that is overdue for the given time.
func pollInterval(overdue time.Duration) time.Duration {
	return min(max(overdue/pollIntervalDivisor, minPollInterval), maxPollInterval)
}
