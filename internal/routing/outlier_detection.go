package routing

import (
	"math"
	"time"
)

// Outlier detection: an endpoint that answers with failures is left out of selection, though its connections hold. It works
// on the outcomes of all proxies, which age exponentially. Its worth: docs/DECISIONS.md, "Ablation".
const (
	// outcomeHalfLife is the time after which an outcome counts for half. Half or double: not measured.
	outcomeHalfLife = 15 * time.Second
	// outlierMinFailures is how many failures, as they count now, make an outlier. Half or double: not measured.
	outlierMinFailures = 1.5
	// outlierMinFailureRate is the share of the outcomes that they must be, too. Half or double: not measured.
	outlierMinFailureRate = 0.15
	// maxOutlierShare is the share of the available endpoints that may be left out: where more fail, the cause is not in the
	// endpoints, and all are selected from. Half or double: not measured.
	maxOutlierShare = 0.5
)

// Outcomes counts how calls to an endpoint ended, by those that say something of the endpoint. Counts that have aged are
// fractions.
type Outcomes struct {
	Good   float64 // responses of use
	Failed float64 // failures, as in outcomesOf
}

func (o *Outcomes) add(other Outcomes) {
	o.Good += other.Good
	o.Failed += other.Failed
}

// Decayed is what outcomes count for once some time has passed.
func (o Outcomes) Decayed(elapsed time.Duration) Outcomes {
	factor := math.Exp2(-float64(max(elapsed, 0)) / float64(outcomeHalfLife))
	return Outcomes{Good: o.Good * factor, Failed: o.Failed * factor}
}

// isOutlier reports whether the outcomes are those of an endpoint that fails.
func (o Outcomes) isOutlier() bool {
	return o.Failed >= outlierMinFailures && o.Failed >= outlierMinFailureRate*(o.Failed+o.Good)
}

// outcomesOf is what the end of a call says of its endpoint. A rejection and a client that gives up say nothing; silence is
// a failure, a response that has started and takes too long is not.
func outcomesOf(result CallResult, started bool) Outcomes {
	switch {
	case result == Succeeded:
		return Outcomes{Good: 1}
	case result == Failed, result == Unreachable, result == ConnectionLost, result == TimedOut && !started:
		return Outcomes{Failed: 1}
	}
	return Outcomes{}
}

// outcomeHistory is the outcomes at one endpoint: the sums of all proxies, with this proxy's own since.
type outcomeHistory struct {
	total      Outcomes
	totalAt    time.Duration // the time at which total counts for what it says
	unreported Outcomes      // own outcomes that have not gone into a report to the control processes
}

// add counts an own outcome.
func (h *outcomeHistory) add(now time.Duration, outcomes Outcomes) {
	h.total = h.at(now)
	h.totalAt = now
	h.total.add(outcomes)
	h.unreported.add(outcomes)
}

// replace takes the sums of all proxies. The own outcomes that have not been reported are not among them.
func (h *outcomeHistory) replace(now time.Duration, sums Outcomes) {
	h.total, h.totalAt = sums, now
	h.total.add(h.unreported)
}

// isOutlier reports whether the endpoint fails. The first comparison saves the exponential for most endpoints: outcomes only
// count for less as they age.
func (h *outcomeHistory) isOutlier(now time.Duration) bool {
	return h.total.Failed >= outlierMinFailures && h.at(now).isOutlier()
}

func (h *outcomeHistory) at(now time.Duration) Outcomes { return h.total.Decayed(now - h.totalAt) }

// FlushOutcomes returns the own outcomes since it was last called, by endpoint id.
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

// withoutOutliers leaves out the endpoints that fail, unless these are more than maxOutlierShare.
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
