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

// ModelKey is the key of a key's model.
func (k Key) ModelKey() Key { return Key{Service: k.Service, Model: k.Model} }

// Sample is what a proxy reports of one key.
type Sample struct {
	Key      Key
	Requests int // since its last report
	Unplaced int // of these, those that found no endpoint with the model or adapter
	InFlight int // now
	Waiting  int // of those in flight, the ones whose response has not begun
}

// noRequest is the time of the last request for a key that has none: long before any other.
const noRequest = -time.Hour

// Demand estimates the demand for models and adapters from the reports of all proxies. It is not safe for concurrent use.
type Demand struct {
	counters map[Key]*counter
	reports  map[string]*report // the last of each proxy
}

// counter is the demand for one key, over all proxies.
type counter struct {
	requests      float64 // decays with rateWindow
	burstRequests float64 // decays with burstRateWindow
	countedAt     time.Duration
	lastRequestAt time.Duration
	unplacedAt    time.Duration
	inFlight      int
	waiting       int
	pressure      float64 // average of waiting over pressureWindow
	pressureAt    time.Duration
}

// report is a proxy's requests in flight.
type report struct {
	receivedAt time.Duration
	active     map[Key]activeRequests
}

type activeRequests struct{ inFlight, waiting int }

// NewDemand returns an estimator without any demand.
func NewDemand() *Demand {
	return &Demand{counters: map[Key]*counter{}, reports: map[string]*report{}}
}

// Report applies a proxy's report: its requests are added to the rates, its requests in flight replace those of its last
// report. What an adapter is asked for counts for its model too.
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

// mergeSamples sums samples by key, those of adapters for their model too.
func mergeSamples(samples []Sample) map[Key]Sample {
	merged := map[Key]Sample{}
	for _, sample := range samples {
		addSample(merged, sample.Key, sample)
		if sample.Key.Adapter != "" {
			sample.Unplaced = 0 // the adapter is missing; the model may well be loaded
			addSample(merged, sample.Key.ModelKey(), sample)
		}
	}
	return merged
}

func addSample(merged map[Key]Sample, key Key, sample Sample) {
	sum := merged[key]
	sum.Requests += sample.Requests
	sum.Unplaced += sample.Unplaced
	sum.InFlight += sample.InFlight
	sum.Waiting += sample.Waiting
	merged[key] = sum
}

// count adds a sample to the counter of a key. It returns false if the key is not known and there are too many.
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

// addReport counts a proxy's requests in flight. Their keys have counters.
func (d *Demand) addReport(proxy string, added *report) {
	for key, active := range added.active {
		d.counters[key].inFlight += active.inFlight
		d.counters[key].waiting += active.waiting
	}
	d.reports[proxy] = added
}

// removeReport no longer counts the requests in flight of a proxy's last report.
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

// Expire removes the reports of proxies that have sent none for inFlightTTL, and keys without requests for keyTTL.
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

// Estimate is the demand for one key at a moment, over all proxies.
type Estimate struct {
	Rate     float64 // requests a second, averaged over rateWindow
	InFlight int     // requests in flight
	Waiting  int     // of those in flight, the ones whose response has not begun
	// Pressure is Waiting averaged over pressureWindow, and multiplied by the growth of the rate where it grows.
	Pressure      float64
	Unplaced      bool          // a request has found no endpoint within unplacedTTL
	LastRequestAt time.Duration // an hour before the origin of the clock if there was none
}

// Estimate returns the demand for a key now. It brings the average of waiting requests up to date.
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

// Keys returns the keys of a service that have been asked for, in no particular order.
func (d *Demand) Keys(service string) []Key {
	var keys []Key
	for key := range d.counters {
		if key.Service == service {
			keys = append(keys, key)
		}
	}
	return keys
}

func (c *counter) requestsAt(now time.Duration) float64 {
	return c.requests * decay(now-c.countedAt, rateWindow)
}

func (c *counter) burstRequestsAt(now time.Duration) float64 {
	return c.burstRequests * decay(now-c.countedAt, burstRateWindow)
}

func (c *counter) updatePressure(now time.Duration) {
	c.pressure += (float64(c.waiting) - c.pressure) * (1 - decay(now-c.pressureAt, pressureWindow))
	c.pressureAt = now
}

// growth is the factor by which the rate over burstRateWindow exceeds that over rateWindow, from 1 to maxGrowth.
func (c *counter) growth(now time.Duration) float64 {
	rate := c.requestsAt(now) / rateWindow.Seconds()
	burstRate := c.burstRequestsAt(now) / burstRateWindow.Seconds()
	if rate <= 0 {
		return 1
	}
	return min(max(burstRate/rate, 1), maxGrowth)
}

// decay is the factor by which an exponential average with a time constant has decayed after some time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}
