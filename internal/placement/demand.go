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
	forgetAfter = 5 * time.Minute
	mostKeys    = 65536
)

// Sample is what one sidecar reports of a key.
type Sample struct {
	Key      Key
	Requests int
	Unplaced int
	InFlight int
	Waiting  int // of them, those whose answer has not begun
}

// wanted is the demand for a key.
type wanted struct {
	count      float64 // decays
	countedAt  time.Duration
	askedAt    time.Duration
	unplacedAt time.Duration
	inFlight   map[string]flight // by sidecar
	fast       float64           // like count, over a shorter time
	pressure   float64           // averaged waiting requests
	pressureAt time.Duration
}

type flight struct {
	n, waiting int
	at         time.Duration
}

// Demand is what is asked for, over all sidecars.
type Demand struct{ keys map[Key]*wanted }

// NewDemand makes an empty table.
func NewDemand() *Demand { return &Demand{keys: map[Key]*wanted{}} }

// Report takes a sidecar's report. What an adapter is asked for counts for its model too.
func (d *Demand) Report(now time.Duration, from string, samples []Sample) {
	perModel := map[Key]Sample{}
	for _, s := range samples {
		if s.Key.Adapter != "" {
			d.add(now, from, s)
		}
		sum := perModel[s.Key.ModelKey()]
		sum.Requests += s.Requests
		sum.InFlight += s.InFlight
		sum.Waiting += s.Waiting
		if s.Key.Adapter == "" {
			sum.Unplaced += s.Unplaced
		}
		perModel[s.Key.ModelKey()] = sum
	}
	for key, s := range perModel {
		s.Key = key
		d.add(now, from, s)
	}
}

func (d *Demand) add(now time.Duration, from string, s Sample) {
	w := d.keys[s.Key]
	if w == nil {
		if len(d.keys) >= mostKeys {
			return
		}
		w = &wanted{askedAt: -time.Hour, unplacedAt: -time.Hour, pressureAt: now, inFlight: map[string]flight{}}
		d.keys[s.Key] = w
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
	w.inFlight[from] = flight{n: s.InFlight, waiting: s.Waiting, at: now}
}

func (w *wanted) decayed(now time.Duration) float64 {
	return w.count * math.Exp(-float64(now-w.countedAt)/float64(rateOver))
}

// Rate is how many requests a second ask for a key.
func (d *Demand) Rate(now time.Duration, key Key) float64 {
	w := d.keys[key]
	if w == nil {
		return 0
	}
	return w.decayed(now) / rateOver.Seconds()
}

// InFlight is how many requests for a key are under way.
func (d *Demand) InFlight(now time.Duration, key Key) int {
	w := d.keys[key]
	if w == nil {
		return 0
	}
	sum := 0
	for _, f := range w.inFlight {
		if now-f.at < inFlightFor {
			sum += f.n
		}
	}
	return sum
}

// Waiting is how many requests for a key wait for the beginning of their answer.
func (d *Demand) Waiting(now time.Duration, key Key) int {
	w := d.keys[key]
	if w == nil {
		return 0
	}
	sum := 0
	for _, f := range w.inFlight {
		if now-f.at < inFlightFor {
			sum += f.waiting
		}
	}
	return sum
}

// Pressure is how many requests for a key wait for the beginning of their answer, averaged, and ahead of a rate that
// grows.
func (d *Demand) Pressure(now time.Duration, key Key) float64 {
	w := d.keys[key]
	if w == nil {
		return 0
	}
	waiting := float64(d.Waiting(now, key))
	w.pressure += (waiting - w.pressure) * (1 - math.Exp(-float64(now-w.pressureAt)/float64(pressureOver)))
	w.pressureAt = now
	return w.pressure * w.growth(now)
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

// Unplaced tells whether a request for a key has lately found no endpoint.
func (d *Demand) Unplaced(now time.Duration, key Key) bool {
	w := d.keys[key]
	return w != nil && now-w.unplacedAt < recently
}

// AskedAt is when a key was last asked for; long ago for never.
func (d *Demand) AskedAt(key Key) time.Duration {
	if w := d.keys[key]; w != nil {
		return w.askedAt
	}
	return -time.Hour
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

// Forget drops keys that nobody has asked for in a long time.
func (d *Demand) Forget(now time.Duration) {
	for key, w := range d.keys {
		if now-w.askedAt > forgetAfter {
			delete(d.keys, key)
		}
	}
}
