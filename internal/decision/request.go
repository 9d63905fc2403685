package decision

import (
	"time"
)

// request is the state of one request from its arrival to its final answer and last outcome.
type request struct {
	id        RequestID
	class     *class
	arrivedAt time.Duration
	deadline  time.Duration
	targetAt  time.Duration // end of the latency target: a later answer is worth little
	overQuota bool          // beyond its tenant's quota
	queued    bool          // in Balancer.queue
	final     bool          // it has its final answer

	// The attempt in flight.
	attempts      int       // made so far
	current       *endpoint // nil for none
	sentAt        time.Duration
	answersAtSend int  // Balancer.answers when it was sent
	trial         bool // a success ends the ejection of its endpoint
	longBody      bool // the body is sent as it arrives
	uploading     bool // some of the body is still to be sent
	responding    bool // the response has started
	withdrawn     bool // cancelled by the Balancer; the outcome is still to come
	overtaken     int  // answers to calls that were sent later
	overdue       bool // it counts as lost by its endpoint
	missing       bool // it counts as missing

	// Earlier attempts.
	lastFailedEndpoint *endpoint     // endpoint of the last one
	mayHaveRunOn       *endpoint     // endpoint of the first one that may have run; nil for none
	ranInZone          int           // zone of mayHaveRunOn at that time
	ranInCell          int           // cell of mayHaveRunOn at that time
	firstRunAt         time.Duration // when that one was sent
}

// isCurrent reports whether an attempt is the one in flight.
func (r *request) isCurrent(attempt int, at EndpointID) bool {
	return r.current != nil && r.current.id == at && attempt == r.attempts-1
}

// replayWindowLeft is the time within which the last byte of a further attempt of a keyed request must be
// sent for endpoints to drop it as a duplicate. The window counts from the first attempt that may have run.
// 0 is no bound.
func (b *Balancer) replayWindowLeft(now time.Duration, r *request) time.Duration {
	if r.mayHaveRunOn == nil || r.class.Effect != Keyed {
		return 0
	}
	return r.firstRunAt + r.class.Window - b.tickInterval - now
}

// sendBy is the time by which a request must be sent to meet its latency target, with room for a slow answer.
func (r *request) sendBy() time.Duration {
	return r.targetAt - seconds(sendSlackMeans*r.class.meanLatency)
}
