package decision

import (
	"time"
)

// endpointState determines which calls an endpoint may be sent. The states follow the caller-side isolation
// of the article that the package documentation names:
//
//	usable     -> ejected (errors, silence, broken connection), draining (endpoint list),
//	              slow start (the list reports a new start)
//	slow start -> usable (after WarmUp), ejected, draining
//	ejected    -> slow start (a trial call was served, or the list reports a new start), draining
//	draining   -> slow start, usable or ejected (listed as ready again)
type endpointState uint8

const (
	stateUsable    endpointState = iota
	stateSlowStart               // started or came back recently: gets fewer calls, at a capped rate
	stateEjected                 // gets only trial calls
	stateDraining                // drains or has departed: gets no new calls
)

// endpoint holds what this instance knows about one endpoint.
type endpoint struct {
	id          EndpointID
	zone, cell  int
	machineKind int     // index of the machine kind
	weight      float64 // relative capacity according to the list
	state       endpointState
	started     time.Duration // latest start of the process according to the list; 0 if long ago
	listVersion uint64        // version of the last list that contained the endpoint

	listed        bool          // the current list contains the endpoint
	indexed       bool          // the sets of the endpointIndex include the endpoint
	departed      bool          // the endpoint is in endpointIndex.departed
	drainingSince time.Duration // time when it began to drain or departed
	wasEjected    bool          // it was ejected then, and still is if it returns without a restart

	calls             []*request    // calls in flight from this instance, oldest first
	uploads           int           // calls whose body is still being sent; they are not in calls
	overdueCalls      int           // calls in flight that will probably not be answered, as of the last tick
	subsetWeight      float64       // part of the weight that belongs to the subset of this instance; 0 if none
	lastAnswer        time.Duration // time of the last answer of any kind
	rejectingUntil    time.Duration // time until which it gets no calls, because it rejected one
	latencyRatio      runningMean   // latency divided by the mean of the class
	serviceTime       runningMean   // reported service time in seconds
	errorRate         float64       // smoothed share of answers that are errors
	lossRate          float64       // smoothed share of calls that were lost
	connectionReset   bool          // a connection broke, so the process may have restarted and be cold
	slowStartFrom     time.Duration // time when the warm-up began
	slowStartTokens   float64       // calls that may be sent to it now in slow start
	slowStartTokensAt time.Duration

	trialAt           time.Duration // no trial call before this time
	trialBackoff      time.Duration // pause before the next trial call after a failed one
	trialAfterAnswers int           // no trial call before Balancer.answers reaches this number
	peerTrialBackoff  time.Duration // initial trialBackoff after an ejection by peers; else 0
}
