package decision

import (
	"time"
)

// request is one request from its arrival to its final answer and last outcome.
type request struct {
	id            RequestID
	arrivedAt     time.Duration // when it came
	class         *class
	overQuota     bool // beyond its tenant's share
	deadline      time.Duration
	targetAt      time.Duration // an answer after this is worth little
	attempts      int
	current       *endpoint // of the attempt that is out
	lastFailed    *endpoint // of the last attempt that failed
	sentAt        time.Duration
	answersAtSend int  // the fleet's answers when it was sent
	trial         bool // the attempt that is out ends an isolation if it is served
	mayHaveRunAt  *endpoint
	ranInZone     int // of mayRun when it was sent
	ranInCell     int
	firstRunAt    time.Duration // when the first attempt that may have run was sent
	queued        bool
	longBody      bool // it is sent as it comes,
	uploading     bool // and some of it is still to come
	responding    bool // its answer is on its way to the client
	final         bool
	withdrawn     bool // withdrawn by us: the outcome is still to come

	overtaken int  // answers to calls that were sent after the attempt that is out
	overdue   bool // that attempt will hardly be answered,
	missing   bool // and was not for longer still
}

// isOut tells whether an attempt is the one that is out.
func (r *request) isCurrent(attempt int, at EndpointID) bool {
	return r.current != nil && r.current.id == at && attempt == r.attempts-1
}

// within is how long a further attempt of a keyed request may take to be out, for repeats to be dropped: its window
// counts from the first that may have run, and holds for when the last byte is out, not for when it was decided. 0 is
// no bound.
func (b *Balancer) replayWindowLeft(now time.Duration, r *request) time.Duration {
	if r.mayHaveRunAt == nil || r.class.Effect != Keyed {
		return 0
	}
	return r.firstRunAt + r.class.Window - b.tick - now
}

// sendBy is until when a call must be sent to meet its aim, slow as it may be.
func (r *request) sendBy() time.Duration {
	return r.targetAt - seconds(sendSlackMeans*r.class.meanLatency)
}
