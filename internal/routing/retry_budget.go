package routing

import "time"

// Constants of the sliding window.
const (
	// budgetBuckets is the number of buckets that the window is divided into. A budgetWindow has one bucket more, which is
	// being filled.
	budgetBuckets = 10
	// budgetMargin is the fraction of the budget that a proxy uses. The rest allows for windows that start at different times:
	// each proxy has its own, and so has an operator's check of the budget.
	budgetMargin = 0.8
)

// RetryBudget limits the retries of each service in a sliding window to a ratio of its requests plus a fixed number of
// retries, the slack, which all proxies share evenly. It is not safe for concurrent use.
type RetryBudget struct {
	window   time.Duration
	ratio    float64
	slack    float64
	proxies  int // number of proxies that share the slack; 0 while it is not known
	services map[string]*budgetWindow
}

// budgetWindow counts the requests and retries of one service by bucket. The last bucket is the newest.
type budgetWindow struct {
	requests, retries [budgetBuckets + 1]int
	newest            int64 // number of the newest bucket, counted from time 0
}

// NewRetryBudget returns a budget that permits, in each window, ratio retries for each request plus this proxy's share of
// slack retries.
func NewRetryBudget(window time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{window: window, ratio: ratio, slack: slack, services: map[string]*budgetWindow{}}
}

// SetProxies sets the number of proxies that share the slack.
func (b *RetryBudget) SetProxies(n int) { b.proxies = n }

// CountRequest counts a request for a service, which raises the number of permitted retries.
func (b *RetryBudget) CountRequest(now time.Duration, service string) {
	b.windowOf(now, service).requests[budgetBuckets]++
}

// AllowRetry takes one retry from the budget of a service. It returns false if the budget is exhausted.
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

// ownSlack returns this proxy's share of the slack. The share is 0 while the number of proxies is not known.
func (b *RetryBudget) ownSlack() float64 {
	if b.proxies == 0 {
		return 0
	}
	return b.slack / float64(max(b.proxies, 1))
}

// windowOf returns the window of a service, advanced to the given time.
func (b *RetryBudget) windowOf(now time.Duration, service string) *budgetWindow {
	window := b.services[service]
	if window == nil {
		window = &budgetWindow{}
		b.services[service] = window
	}
	window.advance(int64(now / (b.window / budgetBuckets)))
	return window
}

// advance shifts the buckets until the newest one has the given number.
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
