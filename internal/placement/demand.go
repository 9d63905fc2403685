package placement

import (
	"math"
	"time"
)

// Key identifies a model of a service, or one of its adapters.
type Key struct {
	Service string
	Model   string
	Adapter string // empty for the model itself
}

// ModelKey returns the key of the model itself, without the adapter.
func (k Key) ModelKey() Key { return Key{Service: k.Service, Model: k.Model} }

// Sample is the part of a proxy's report about one key.
type Sample struct {
	Key      Key
	Requests int // requests since the proxy's last report
	Unplaced int // those of Requests that found no endpoint with the model or adapter
	InFlight int // requests in flight at the time of the report
	Waiting  int // those of InFlight whose response has not started
}

// noRequest stands for the time of the last request for a key without requests. It is long before the time of any request.
const noRequest = -time.Hour

// Demand estimates the demand for models and adapters from the reports of all proxies. It is not safe for concurrent use.
type Demand struct {
	counters map[Key]*counter
	reports  map[string]*report // the last report of each proxy, by its name
}

// counter accumulates the demand of all proxies for one key.
type counter struct {
	requests      float64 // request count that decays with the time constant rateWindow
	burstRequests float64 // request count that decays with the time constant burstRateWindow
	countedAt     time.Duration
	lastRequestAt time.Duration
	unplacedAt    time.Duration
	inFlight      int
	waiting       int
	pressure      float64 // average of waiting over pressureWindow
	pressureAt    time.Duration
}

// report holds the requests in flight of one proxy.
type report struct {
	receivedAt time.Duration
	active     map[Key]activeRequests
}

// activeRequests counts the requests of one proxy for one key.
type activeRequests struct{ inFlight, waiting int }

// NewDemand returns an estimator without any demand.
func NewDemand() *Demand {
	return &Demand{counters: map[Key]*counter{}, reports: map[string]*report{}}
}

// Report applies a proxy's report. The new requests are added to the rates; the requests in flight replace those of the
// proxy's previous report. Requests for an adapter count for its model, too.
func (d *Demand) Report(now time.Duration, proxy string, samples []Sample) {
	received := &report{receivedAt: now, active: map[Key]activeRequests{}}
	for key, sample := range mergeSamples(samples) {
		if d.count(now, key, sample) && (sample.InFlight > 0 || sample.Waiting > 0) {
			received.active[key] = activeRequests{inFlight: sample.InFlight, waiting: sample.Waiting}
		}
	}
	if len(d.reports) < maxReporters || d.reports[proxy] != nil {
		d.removeReport(proxy)
		d.addReport(proxy, received)
	}
}

// mergeSamples sums the samples by key. The samples of an adapter also count for its model.
func mergeSamples(samples []Sample) map[Key]Sample {
	merged := map[Key]Sample{}
	for _, sample := range samples {
		addSample(merged, sample.Key, sample)
		if sample.Key.Adapter != "" {
			sample.Unplaced = 0 // only the adapter is known to be missing; the model may be loaded
			addSample(merged, sample.Key.ModelKey(), sample)
		}
	}
	return merged
}

// addSample adds a sample to the sum for a key.
func addSample(merged map[Key]Sample, key Key, sample Sample) {
	sum := merged[key]
	sum.Requests += sample.Requests
	sum.Unplaced += sample.Unplaced
	sum.InFlight += sample.InFlight
	sum.Waiting += sample.Waiting
	merged[key] = sum
}

// count adds a sample to the counter of a key. It returns false if the key has no counter and the table is full.
func (d *Demand) count(now time.Duration, key Key, sample Sample) bool {
	c := d.counters[key]
	if c == nil {
		if len(d.counters) >= maxKeys {
			return false
		}
		c = &counter{lastRequestAt: noRequest, unplacedAt: noRequest, pressureAt: now}
		d.counters[key] = c
	}
	c.burstRequests = c.burstRequestsAt(now) + float64(sample.Requests)
	c.requests = c.requestsAt(now) + float64(sample.Requests)
	c.countedAt = now
	if sample.Requests > 0 || sample.Unplaced > 0 || sample.InFlight > 0 {
		c.lastRequestAt = now
	}
	if sample.Unplaced > 0 {
		c.unplacedAt = now
	}
	return true
}

// addReport adds a proxy's requests in flight to the counters. All keys of the report must have counters.
func (d *Demand) addReport(proxy string, added *report) {
	for key, active := range added.active {
		d.counters[key].inFlight += active.inFlight
		d.counters[key].waiting += active.waiting
	}
	d.reports[proxy] = added
}

// removeReport subtracts the requests in flight of a proxy's last report from the counters, and deletes the report.
func (d *Demand) removeReport(proxy string) {
	removed := d.reports[proxy]
	if removed == nil {
		return
	}
	for key, active := range removed.active {
		if c := d.counters[key]; c != nil {
			c.inFlight -= active.inFlight
			c.waiting -= active.waiting
		}
	}
	delete(d.reports, proxy)
}

// Expire removes the reports that are older than inFlightTTL, and the keys that have had no request for keyTTL.
func (d *Demand) Expire(now time.Duration) {
	for proxy, r := range d.reports {
		if now-r.receivedAt >= inFlightTTL {
			d.removeReport(proxy)
		}
	}
	for key, c := range d.counters {
		if now-c.lastRequestAt > keyTTL && c.inFlight == 0 {
			delete(d.counters, key)
		}
	}
}

// Estimate is the demand of all proxies for one key at a given time.
type Estimate struct {
	Rate     float64 // requests per second, averaged over rateWindow
	InFlight int     // requests in flight
	Waiting  int     // those of InFlight whose response has not started
	// Pressure is Waiting averaged over pressureWindow, multiplied by the growth of the rate if the rate grows.
	Pressure      float64
	Unplaced      bool          // true if a request has found no endpoint in the last unplacedTTL
	LastRequestAt time.Duration // noRequest if there was no request
}

// Estimate returns the demand for a key at the given time. It updates the average of the waiting requests to that time.
func (d *Demand) Estimate(now time.Duration, key Key) Estimate {
	c := d.counters[key]
	if c == nil {
		return Estimate{LastRequestAt: noRequest}
	}
	c.updatePressure(now)
	return Estimate{
		Rate:          c.requestsAt(now) / rateWindow.Seconds(),
		InFlight:      c.inFlight,
		Waiting:       c.waiting,
		Pressure:      c.pressure * c.growth(now),
		Unplaced:      now-c.unplacedAt < unplacedTTL,
		LastRequestAt: c.lastRequestAt,
	}
}

// Keys returns the keys of a service that have been requested, in no particular order.
func (d *Demand) Keys(service string) []Key {
	var keys []Key
	for key := range d.counters {
		if key.Service == service {
			keys = append(keys, key)
		}
	}
	return keys
}

// requestsAt returns the request count, decayed to the given time.
func (c *counter) requestsAt(now time.Duration) float64 {
	return c.requests * decay(now-c.countedAt, rateWindow)
}

// burstRequestsAt returns the burst request count, decayed to the given time.
func (c *counter) burstRequestsAt(now time.Duration) float64 {
	return c.burstRequests * decay(now-c.countedAt, burstRateWindow)
}

// updatePressure updates the average of the waiting requests to the given time.
func (c *counter) updatePressure(now time.Duration) {
	c.pressure += (float64(c.waiting) - c.pressure) * (1 - decay(now-c.pressureAt, pressureWindow))
	c.pressureAt = now
}

// growth returns the ratio of the rate over burstRateWindow to the rate over rateWindow, limited to the range from 1 to
// maxGrowth.
func (c *counter) growth(now time.Duration) float64 {
	rate := c.requestsAt(now) / rateWindow.Seconds()
	burstRate := c.burstRequestsAt(now) / burstRateWindow.Seconds()
	if rate <= 0 {
		return 1
	}
	return min(max(burstRate/rate, 1), maxGrowth)
}

// decay returns the factor by which an exponential average with the given time constant decays in the elapsed time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}
