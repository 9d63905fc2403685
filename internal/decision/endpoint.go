package decision

import (
	"time"
)

// This file holds the state that decisions rest on, and how figures are smoothed; it decides nothing.

// mark is what an endpoint is open to.
type endpointState uint8

const (
	stateUsable    endpointState = iota
	stateSlowStart               // usable, but just started or just back: drawn less often
	stateEjected                 // gets trial calls only
	stateDraining                // draining or gone: gets nothing new
)

// endpoint is what this instance knows of one endpoint.
type endpoint struct {
	id            EndpointID
	zone, cell    int
	kind          int
	weight        float64 // listed size, compared with others'
	latencyRatio  runningMean
	serviceTime   runningMean // seconds of service that it reports
	state         endpointState
	listed        bool          // by the last list,
	indexed       bool          // and the sets of the roster know;
	departed      bool          // it is among those that have gone
	started       time.Duration // process start as listed
	listVersion   uint64        // of the list that named it last
	slowStartFrom time.Duration // since when its ramp counts
	drainingSince time.Duration // when it was last seen to drain or to be gone,
	wasEjected    bool          // and that it was isolated then: coming back proves nothing

	calls             []*request // own calls in flight, oldest first
	uploads           int        // and those whose request is still being sent
	connectionReset   bool       // a connection broke: it may have restarted, and be cold
	subsetWeight      float64    // of its weight that is in this instance's subset; 0 outside of it
	lastAnswer        time.Duration
	rejectingUntil    time.Duration // turned a call away: passed over until then
	errorRate         float64       // smoothed share of answers that are errors
	lossRate          float64       // and of calls that it lost
	overdueCalls      int           // own calls in flight that it will hardly answer
	trialAt           time.Duration
	trialBackoff      time.Duration
	peerTrialBackoff  time.Duration // the first pause of an isolation on the word of others; 0 for one by own calls
	trialAfterAnswers int           // answers of any kind before which there is none
	slowStartTokens   float64       // sends a ramping endpoint may get now
	slowStartTokensAt time.Duration
}
