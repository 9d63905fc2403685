package decision

import (
	"time"
)

// endpointState is what an endpoint may be sent. The states follow the caller-side isolation of the article (see the
// package's documentation):
//
//	usable     -> ejected (errors, silence, broken connection), draining (list)
//	slow start -> usable (after WarmUp), ejected, draining
//	ejected    -> slow start (a trial call was served, or the list names a new start), draining
//	draining   -> slow start, usable or ejected (listed as ready again)
type endpointState uint8

const (
	stateUsable    endpointState = iota
	stateSlowStart               // just started or just back: drawn less often, and its send rate is capped
	stateEjected                 // gets trial calls only
	stateDraining                // draining or departed: gets nothing new
)

// endpoint is what this instance knows of one endpoint.
type endpoint struct {
	id          EndpointID
	zone, cell  int
	machineKind int     // of its machine
	weight      float64 // as listed
	state       endpointState
	started     time.Duration // latest start of its process, as listed; 0 for long past
	listVersion uint64        // of the list that named it last

	listed        bool          // the last list has it
	indexed       bool          // the sets of the endpointIndex have it
	departed      bool          // it is in the index's departed set
	drainingSince time.Duration // when it began to drain or departed
	wasEjected    bool          // it was ejected then: its return proves nothing

	calls             []*request // own calls in flight, oldest first
	uploads           int        // own calls whose request is still being sent, not in calls
	overdueCalls      int        // own calls in flight that will hardly be answered, as of the last tick
	subsetWeight      float64    // the part of its weight that is in this instance's subset; 0 outside of it
	lastAnswer        time.Duration
	rejectingUntil    time.Duration // it has rejected a call: passed over until then
	latencyRatio      runningMean   // latency over the class's mean
	serviceTime       runningMean   // seconds of service that it reports
	errorRate         float64       // smoothed share of answers that are errors
	lossRate          float64       // smoothed share of calls that it lost
	connectionReset   bool          // a connection broke: it may have restarted, and be cold
	slowStartFrom     time.Duration // start of its warm-up
	slowStartTokens   float64       // sends that it may get now in slow start
	slowStartTokensAt time.Duration

	trialAt           time.Duration // no trial call before
	trialBackoff      time.Duration // pause before the next trial call
	trialAfterAnswers int           // no trial call before so many answers of any endpoint
	peerTrialBackoff  time.Duration // first trialBackoff of an ejection by peers' evidence; 0 for an own one
}
