package routing

import "time"

// How a budget's window is counted.
const (
	// budgetBuckets is into how many buckets the window is divided. One more is kept, which is being filled.
	budgetBuckets = 10
	// budgetMargin is the part of the budget that is used: the proxies, and who checks the budget, count in windows that start
	// at other moments. Half or double: not measured.
	budgetMargin = 0.8
)

// RetryBudget bounds how often requests for a service are sent again: by a ratio of the requests in a sliding window, and by
// a number of retries that all proxies share evenly. It belongs to one goroutine.
type RetryBudget struct {
	window   time.Duration
	ratio    float64
	slack    float64
	proxies  int // that share the slack; 0 while that is not known
	services map[string]*budgetWindow
}

// budgetWindow has the counts of one service by bucket; the newest bucket is the last.
type budgetWindow struct {
	requests, retries [budgetBuckets + 1]int
	newest            int64 // number of the newest bucket since the start of time
}

// NewRetryBudget makes a budget of ratio retries for each request in a window, and of slack retries a window that all proxies
// share.
func NewRetryBudget(window time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{window: window, ratio: ratio, slack: slack, services: map[string]*budgetWindow{}}
}

// SetProxies sets how many proxies share the slack.
func (b *RetryBudget) SetProxies(n int) { b.proxies = n }

// CountRequest counts a request for a service.
func (b *RetryBudget) CountRequest(now time.Duration, service string) {
	b.windowOf(now, service).requests[budgetBuckets]++
}

// AllowRetry takes one retry from the budget; it is false where there is none left.
func (b *RetryBudget) AllowRetry(now time.Duration, service string) bool {
	window := b.windowOf(now, service)
	requests, retries := 0, 0
	for i := range window.requests {
		requests += window.requests[i]
		retries += window.retries[i]
	}
	byRatio := b.ratio * float64(requests) * budgetBuckets / (budgetBuckets + 1)
	if float64(retries+1) > budgetMargin*(byRatio+b.ownSlack()) {
		return false
	}
	window.retries[budgetBuckets]++
	return true
}

// ownSlack is this proxy's part of the slack: none while it is not known how many share it.
func (b *RetryBudget) ownSlack() float64 {
	if b.proxies == 0 {
		return 0
	}
	return b.slack / float64(max(b.proxies, 1))
}

// windowOf returns a service's window, moved on to the present.
func (b *RetryBudget) windowOf(now time.Duration, service string) *budgetWindow {
	window := b.services[service]
	if window == nil {
		window = &budgetWindow{}
		b.services[service] = window
	}
	window.advance(int64(now / (b.window / budgetBuckets)))
	return window
}

// advance moves the buckets on until the newest is the one with a number.
func (w *budgetWindow) advance(bucket int64) {
	if bucket-w.newest > budgetBuckets+1 {
		*w = budgetWindow{newest: bucket}
		return
	}
	for ; w.newest < bucket; w.newest++ {
		copy(w.requests[:], w.requests[1:])
		copy(w.retries[:], w.retries[1:])
		w.requests[budgetBuckets], w.retries[budgetBuckets] = 0, 0
	}
}
