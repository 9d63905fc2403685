package routing

import (
	"math"
	"time"
)

// Outlier detection excludes an endpoint from selection that accepts connections but answers with failures. It uses the
// outcomes of the calls of all proxies, whose weight decays exponentially.
const (
	// outcomeHalfLife is the time after which the weight of an outcome has halved.
	outcomeHalfLife = 15 * time.Second
	// outlierMinFailures is the decayed number of failures from which an endpoint can be an outlier. It exceeds 1, since a
	// single failure may be chance.
	outlierMinFailures = 1.5
	// outlierMinFailureRate is the share of failures among all outcomes from which an endpoint can be an outlier.
	outlierMinFailureRate = 0.15
	// maxOutlierShare is the maximum share of the available endpoints that may be excluded. If more endpoints fail, they are
	// probably not the cause of the failures, and none is excluded.
	maxOutlierShare = 0.5
)

// Outcomes counts the successful and the failed calls to an endpoint. Results that do not indicate the endpoint's health are
// not counted. Decayed counts are fractional.
type Outcomes struct {
	Good   float64 // calls with a useful response
	Failed float64 // calls that failed because of the endpoint; see outcomesOf
}

func (o *Outcomes) add(other Outcomes) {
	o.Good += other.Good
	o.Failed += other.Failed
}

// Decayed returns the outcomes with their weight reduced by the elapsed time.
func (o Outcomes) Decayed(elapsed time.Duration) Outcomes {
	factor := math.Exp2(-float64(max(elapsed, 0)) / float64(outcomeHalfLife))
	return Outcomes{Good: o.Good * factor, Failed: o.Failed * factor}
}

// isOutlier reports whether the outcomes reach both thresholds of an outlier.
func (o Outcomes) isOutlier() bool {
	return o.Failed >= outlierMinFailures && o.Failed >= outlierMinFailureRate*(o.Failed+o.Good)
}

// outcomesOf returns the outcome that a call counts for. Rejections and canceled calls do not count. A timeout counts as a
// failure only if the response had not started: a long response is not a failure.
func outcomesOf(result CallResult, started bool) Outcomes {
	switch {
	case result == Succeeded:
		return Outcomes{Good: 1}
	case result == Failed, result == Unreachable, result == ConnectionLost, result == TimedOut && !started:
		return Outcomes{Failed: 1}
	}
	return Outcomes{}
}

// outcomeHistory holds the decaying outcomes of one endpoint: the sum over all proxies plus this proxy's newer outcomes.
type outcomeHistory struct {
	total      Outcomes
	totalAt    time.Duration // the time up to which total has decayed
	unreported Outcomes      // this proxy's outcomes that FlushOutcomes has not returned yet
}

// add counts outcomes of this proxy's calls.
func (h *outcomeHistory) add(now time.Duration, outcomes Outcomes) {
	h.total = h.at(now)
	h.totalAt = now
	h.total.add(outcomes)
	h.unreported.add(outcomes)
}

// replace sets the history to the sums over all proxies plus this proxy's unreported outcomes, which the sums do not contain
// yet.
func (h *outcomeHistory) replace(now time.Duration, sums Outcomes) {
	h.total, h.totalAt = sums, now
	h.total.add(h.unreported)
}

// isOutlier reports whether the endpoint is an outlier at the given time. The first comparison avoids computing the decay for
// most endpoints: decay only lowers the counts, so an endpoint with too few failures before it is no outlier after it.
func (h *outcomeHistory) isOutlier(now time.Duration) bool {
	return h.total.Failed >= outlierMinFailures && h.at(now).isOutlier()
}

// at returns the outcomes with their weight at the given time.
func (h *outcomeHistory) at(now time.Duration) Outcomes { return h.total.Decayed(now - h.totalAt) }

// FlushOutcomes returns this proxy's outcomes since the last call of FlushOutcomes, by endpoint ID.
func (p *Pool) FlushOutcomes() map[string]Outcomes {
	flushed := map[string]Outcomes{}
	for id, e := range p.byID {
		if e.outcomes.unreported != (Outcomes{}) {
			flushed[id] = e.outcomes.unreported
			e.outcomes.unreported = Outcomes{}
		}
	}
	return flushed
}

// withoutOutliers returns the available endpoints that are no outliers. If the share of outliers exceeds maxOutlierShare, it
// returns all available endpoints.
func withoutOutliers(now time.Duration, available []*Endpoint) []*Endpoint {
	var healthy []*Endpoint
	for _, e := range available {
		if !e.outcomes.isOutlier(now) {
			healthy = append(healthy, e)
		}
	}
	outliers := len(available) - len(healthy)
	if float64(outliers) > maxOutlierShare*float64(len(available)) {
		return available
	}
	return healthy
}
