package budget

import "time"

// demandSamples is the number of samples over which the demand is smoothed.
const demandSamples = 16

// DemandEstimator estimates a holder's demand as a rate per second. It takes the mean of all samples at first, and an
// exponential moving average later. A broker in a large fleet receives less than one request per sample. If shares
// followed this noise, much of a pool would be charged twice, by the old and the new grants.
type DemandEstimator struct {
	rates       []float64
	lastTotals  []float64
	sampledAt   time.Duration
	sampleCount float64
}

// Sample updates the estimates with the total demand since the start, for each quota.
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

// Rates returns the estimated demand per second, for each quota.
func (d *DemandEstimator) Rates() []float64 { return append([]float64(nil), d.rates...) }
