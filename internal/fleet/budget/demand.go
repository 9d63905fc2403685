package budget

import "time"

// demandSamples is over how many samples demand is smoothed.
const demandSamples = 16

// Demand estimates the rate at which a holder is asked, as the mean of all samples at first and as an exponential mean
// later. A broker of a large fleet gets less than one request in a sample: shares that followed that noise would keep
// much of a pool charged twice, by the grants before and after.
type Demand struct {
	rates   []float64
	last    []float64
	at      time.Duration
	samples float64
}

// Sample takes the totals since the start, for each quota.
func (d *Demand) Sample(now time.Duration, totals []float64) {
	if elapsed := (now - d.at).Seconds(); d.last != nil && elapsed > 0 {
		d.samples = min(d.samples+1, demandSamples)
		for i := range totals {
			d.rates[i] += ((totals[i]-d.last[i])/elapsed - d.rates[i]) / d.samples
		}
	}
	if d.last == nil {
		d.rates = make([]float64, len(totals))
	}
	d.last, d.at = append(d.last[:0], totals...), now
}

// Rates returns the estimates per second.
func (d *Demand) Rates() []float64 { return append([]float64(nil), d.rates...) }
