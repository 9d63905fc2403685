package budget

import "time"

// demandSamples is over how many samples demand is smoothed.
const demandSamples = 16

// DemandEstimator estimates the rate at which a holder is asked, as the mean of all samples at first and as an exponential mean
// later. A broker of a large fleet gets less than one request in a sample: shares that followed that noise would keep
// much of a pool charged twice, by the grants before and after.
type DemandEstimator struct {
	rates       []float64
	lastTotals  []float64
	sampledAt   time.Duration
	sampleCount float64
}

// Sample takes the totals since the start, for each quota.
func (d *DemandEstimator) Sample(now time.Duration, totals []float64) {
	if elapsed := (now - d.sampledAt).Seconds(); d.lastTotals != nil && elapsed > 0 {
		d.sampleCount = min(d.sampleCount+1, demandSamples)
		for i := range totals {
			d.rates[i] += ((totals[i]-d.lastTotals[i])/elapsed - d.rates[i]) / d.sampleCount
		}
	}
	if d.lastTotals == nil {
		d.rates = make([]float64, len(totals))
	}
	d.lastTotals, d.sampledAt = append(d.lastTotals[:0], totals...), now
}

// Rates returns the estimates per second.
func (d *DemandEstimator) Rates() []float64 { return append([]float64(nil), d.rates...) }
