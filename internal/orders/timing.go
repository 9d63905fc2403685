package orders

import "time"

const (
	// unloadDelay is the time between the publication that a model is unloaded and the order: proxies stop sending it
	// requests by then.
	unloadDelay = 30 * time.Millisecond
	// MaxReportAge is how old an endpoint's report may be.
	MaxReportAge = 300 * time.Millisecond
	// adapterLoadTime is the expected duration of loading an adapter, and of unloading anything.
	adapterLoadTime = 25 * time.Millisecond
	// maxConflictRetries is how often an order is retried while another one is just ending at the endpoint, and
	// conflictBackoff the pause before each retry.
	maxConflictRetries = 5
	conflictBackoff    = 60 * time.Millisecond
	// minPollInterval and maxPollInterval bound the time between two reports that are fetched while an order takes longer than
	// expected. It grows with the time that has passed: pollIntervalFraction of it.
	minPollInterval      = 100 * time.Millisecond
	maxPollInterval      = 500 * time.Millisecond
	pollIntervalFraction = 8
)

// pollInterval is the time until the next report of an order that has been overdue for some time.
func pollInterval(overdue time.Duration) time.Duration {
	return min(max(overdue/pollIntervalFraction, minPollInterval), maxPollInterval)
}
