package dataplane

import (
	"strconv"
	"sync"
)

// A client does not mark a request as a retry. But all its attempts share one deadline, so a retry has less time left than other
// requests of the same route.
const (
	// retryDeadlineFraction is the fraction of the longest deadline of the route below which a request counts as a retry.
	retryDeadlineFraction = 0.95
	// maxDeadlineRoutes bounds the routes whose longest deadline is kept. Above it, all deadlines are discarded.
	maxDeadlineRoutes = 4096
)

// clientDeadlines keeps the longest deadline that clients have sent for each route. It is safe for concurrent use.
type clientDeadlines struct {
	mu      sync.Mutex
	longest map[string]float64 // by name of the route, in milliseconds
}

// observe records the deadline of a request, the value of its X-Deadline-Ms header, and reports whether the request is probably a
// retry.
func (d *clientDeadlines) observe(route, header string) (isRetry bool) {
	ms, err := strconv.ParseFloat(header, 64)
	if err != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longest == nil || len(d.longest) > maxDeadlineRoutes {
		d.longest = map[string]float64{}
	}
	d.longest[route] = max(d.longest[route], ms)
	return ms < retryDeadlineFraction*d.longest[route]
}
