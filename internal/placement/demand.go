// Package placement decides which models and adapters stand on which endpoints, from the demand that the sidecars
// report, and keeps account of the orders that were given. It does no input or output and reads no clock.
package placement

import (
	"math"
	"time"
)

// Key names a model of a service, or one of its adapters.
type Key struct{ Service, Model, Adapter string }

// ModelKey is the key of a key's model.
func (k Key) ModelKey() Key { return Key{Service: k.Service, Model: k.Model} }

const (
	// rateOver is the time over which rates are averaged.
	rateOver = 3 * time.Second
	// fastOver is the time over which the rates are averaged that tell growth.
	fastOver = time.Second
	// pressureOver is the time over which waiting requests are averaged.
	pressureOver = 500 * time.Millisecond
	// mostGrowth bounds how much a growing rate counts for more.
	mostGrowth = 2
	// recently is how long a request that found no endpoint asks for its model.
	recently = 2 * time.Second
	// inFlightFor is how long a sidecar's word of its requests under way counts.
	inFlightFor = time.Second
	// forgetAfter is when a key that nobody asks for is forgotten.
	forgetAfter  = 5 * time.Minute
	mostKeys     = 65536
	mostSidecars = 8192
)

// Sample is what one sidecar reports of a key.
type Sample struct {
	Key      Key
	Requests int
	Unplaced int
	InFlight int
	Waiting  int // of them, those whose answer has not begun
}

// wanted is the demand for a key, over all sidecars.
type wanted struct {
	count      float64 // decays
	fast       float64 // like count, over a shorter time
	countedAt  time.Duration
	askedAt    time.Duration
	unplacedAt time.Duration
	inFlight   int
	waiting    int
	pressure   float64 // averaged waiting requests
	pressureAt time.Duration
}

// flights are a sidecar's requests under way, by its last report.
type flights struct {
	at    time.Duration
	byKey map[Key]flight
}

type flight struct{ inFlight, waiting int }

// Demand is what is asked for, over all sidecars.
type Demand struct {
	keys     map[Key]*wanted
	sidecars map[string]*flights
}

// NewDemand makes an empty table.
func NewDemand() *Demand {
	return &Demand{keys: map[Key]*wanted{}, sidecars: map[string]*flights{}}
}

// Report takes a sidecar's report. What an adapter is asked for counts for its model too.
func (d *Demand) Report(now time.Duration, from string, samples []Sample) {
	merged := map[Key]Sample{}
	for _, s := range samples {
		add(merged, s.Key, s)
		if s.Key.Adapter != "" {
			s.Unplaced = 0 // the model may stand all the same
			add(merged, s.Key.ModelKey(), s)
		}
	}
	fresh := &flights{at: now, byKey: map[Key]flight{}}
	for key, s := range merged {
		if d.count(now, key, s) && (s.InFlight > 0 || s.Waiting > 0) {
			fresh.byKey[key] = flight{inFlight: s.InFlight, waiting: s.Waiting}
		}
	}
	if len(d.sidecars) < mostSidecars || d.sidecars[from] != nil {
		d.replace(from, fresh)
	}
}

func add(merged map[Key]Sample, key Key, s Sample) {
	sum := merged[key]
	sum.Requests += s.Requests
	sum.Unplaced += s.Unplaced
	sum.InFlight += s.InFlight
	sum.Waiting += s.Waiting
	merged[key] = sum
}

// count notes requests for a key. It is false where there are too many keys.
func (d *Demand) count(now time.Duration, key Key, s Sample) bool {
	w := d.keys[key]
	if w == nil {
		if len(d.keys) >= mostKeys {
			return false
		}
		w = &wanted{askedAt: -time.Hour, unplacedAt: -time.Hour, pressureAt: now}
		d.keys[key] = w
	}
	w.fast = w.fast*math.Exp(-float64(now-w.countedAt)/float64(fastOver)) + float64(s.Requests)
	w.count = w.decayed(now) + float64(s.Requests)
	w.countedAt = now
	if s.Requests > 0 || s.Unplaced > 0 || s.InFlight > 0 {
		w.askedAt = now
	}
	if s.Unplaced > 0 {
		w.unplacedAt = now
	}
	return true
}

// replace puts a sidecar's requests under way in the place of those it had before.
func (d *Demand) replace(from string, fresh *flights) {
	if old := d.sidecars[from]; old != nil {
		for key, f := range old.byKey {
			if w := d.keys[key]; w != nil {
				w.inFlight -= f.inFlight
				w.waiting -= f.waiting
			}
		}
	}
	if fresh == nil {
		delete(d.sidecars, from)
		return
	}
	for key, f := range fresh.byKey {
		d.keys[key].inFlight += f.inFlight
		d.keys[key].waiting += f.waiting
	}
	d.sidecars[from] = fresh
}

// Expire drops what sidecars have said that have been quiet since, and keys that nobody has asked for in a long time.
func (d *Demand) Expire(now time.Duration) {
	for from, f := range d.sidecars {
		if now-f.at >= inFlightFor {
			d.replace(from, nil)
		}
	}
	for key, w := range d.keys {
		if now-w.askedAt > forgetAfter && w.inFlight == 0 {
			delete(d.keys, key)
		}
	}
}

func (w *wanted) decayed(now time.Duration) float64 {
	return w.count * math.Exp(-float64(now-w.countedAt)/float64(rateOver))
}

// growth is by how much the rate of the last moments exceeds that of the last seconds.
func (w *wanted) growth(now time.Duration) float64 {
	slow := w.decayed(now) / rateOver.Seconds()
	fast := w.fast * math.Exp(-float64(now-w.countedAt)/float64(fastOver)) / fastOver.Seconds()
	if slow <= 0 {
		return 1
	}
	return min(max(fast/slow, 1), mostGrowth)
}

// Estimate is the demand for one key at a moment.
type Estimate struct {
	Rate     float64 // requests a second
	InFlight int     // requests under way
	Waiting  int     // of them, those whose answer has not begun
	// Pressure is how many requests wait for the beginning of their answer, averaged, and ahead of a rate that grows.
	Pressure      float64
	Unplaced      bool          // a request has lately found no endpoint
	LastRequestAt time.Duration // the last request; long ago for none
}

// Estimate tells the demand for a key now.
func (d *Demand) Estimate(now time.Duration, key Key) Estimate {
	w := d.keys[key]
	if w == nil {
		return Estimate{LastRequestAt: -time.Hour}
	}
	w.pressure += (float64(w.waiting) - w.pressure) * (1 - math.Exp(-float64(now-w.pressureAt)/float64(pressureOver)))
	w.pressureAt = now
	return Estimate{
		Rate: w.decayed(now) / rateOver.Seconds(), InFlight: w.inFlight, Waiting: w.waiting,
		Pressure: w.pressure * w.growth(now), Unplaced: now-w.unplacedAt < recently, LastRequestAt: w.askedAt,
	}
}

// Keys lists the keys of a service that have been asked for.
func (d *Demand) Keys(service string) []Key {
	var keys []Key
	for key := range d.keys {
		if key.Service == service {
			keys = append(keys, key)
		}
	}
	return keys
}
