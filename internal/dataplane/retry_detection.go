package dataplane

import (
	"strconv"
	"sync"
)

// How a client's retry is recognised. A client does not say that a request is a retry; but all its attempts share one
// deadline, so that a retry names a shorter one than other requests of its route.
const (
	// retryDeadlineFraction is the part of the route's longest deadline below which a request's own tells that some of it was
	// used. Half or double: not measured.
	retryDeadlineFraction = 0.95
	// maxDeadlineRoutes bounds the routes that are remembered.
	maxDeadlineRoutes = 4096
)

// clientDeadlines has the longest deadline that clients have named, by route.
type clientDeadlines struct {
	mu      sync.Mutex
	longest map[string]float64 // milliseconds
}

// observe takes a request's deadline, as its header says it in milliseconds, and reports whether it is that of a retry.
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
