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
	targetAt  time.Duration // end of the latency target; a later answer earns only Class.LateValue
	overQuota bool          // the request exceeds the quota of its tenant
	queued    bool          // the request is in Balancer.queue
	final     bool          // the client has its final answer

	// The attempt in flight.
	attempts      int       // number of attempts so far
	current       *endpoint // endpoint of the attempt in flight; nil if there is none
	sentAt        time.Duration
	answersAtSend int  // Balancer.answers when the attempt was sent
	trial         bool // the attempt is a trial call: a success ends the ejection of its endpoint
	longBody      bool // the body is forwarded as it arrives
	uploading     bool // a part of the body has not been sent yet
	responding    bool // the response has started
	withdrawn     bool // the Balancer has cancelled the attempt and waits for its outcome
	overtaken     int  // answers so far to calls that were sent after this one
	overdue       bool // the call counts as lost by its endpoint (overdueLostTails)
	missing       bool // the call counts as missing: lost, and not merely slow (overdueMissingTails)

	// Earlier attempts.
	lastFailedEndpoint *endpoint     // endpoint of the last attempt
	mayHaveRunOn       *endpoint     // endpoint of the first attempt that may have run; nil if none may have
	ranInZone          int           // zone of mayHaveRunOn when that attempt ended
	ranInCell          int           // cell of mayHaveRunOn when that attempt ended
	firstRunAt         time.Duration // time when that attempt was sent
}

// isCurrent reports whether the attempt with this number at this endpoint is the one in flight.
func (r *request) isCurrent(attempt int, id EndpointID) bool {
	return r.current != nil && r.current.id == id && attempt == r.attempts-1
}

// replayWindowLeft returns the time within which the last byte of a further attempt of a keyed request must
// be sent, so that endpoints still drop it as a duplicate. The window counts from the first attempt that may
// have run. The result is 0 if there is no such bound.
func (b *Balancer) replayWindowLeft(now time.Duration, r *request) time.Duration {
	if r.mayHaveRunOn == nil || r.class.Effect != Keyed {
		return 0
	}
	return r.firstRunAt + r.class.Window - b.tickInterval - now
}

// sendBy returns the time by which a request must be sent to meet its latency target, with a margin for an
// answer that is slower than the mean.
func (r *request) sendBy() time.Duration {
	return r.targetAt - seconds(sendSlackMeans*r.class.meanLatency)
}
