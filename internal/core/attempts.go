package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// Upstream carries out attempts, in a protocol.
type Upstream interface {
	// Send makes one attempt over an idle connection to its endpoint, or over a new one where that is nil. When it
	// returns, the connection is closed or in the result, so that the call may be sent again. It may block until the
	// attempt's context ends, and little longer.
	Send(a *Attempt, over Conn) Result
}

// Result is how an attempt ended.
type Result struct {
	Status        decision.Status
	Elapsed       time.Duration  // from the sending to the answer
	Response      Response       // complete and good; nil otherwise, and for one that was started before
	Load          *decision.Load // reported by the endpoint; nil for none
	Conn          Conn           // can carry another attempt; nil for none
	NotReplayable bool           // the request cannot be sent again
}

// Response is an endpoint's good answer, in terms of the protocol.
type Response interface {
	// Discard releases what it holds, whether it was delivered or not.
	Discard()
}

// startAttempt sends an attempt from a goroutine of its own, if there may be a connection for it.
func (l *Loop) startAttempt(a *Attempt) {
	conn, ok := l.pool.acquire(a.Endpoint, a.sentAt)
	go func() {
		defer a.Close()
		res := Result{Status: decision.NotSent}
		if ok {
			res = l.upstream.Send(a, conn)
		}
		l.Post(func() {
			if ok {
				l.pool.release(a.Endpoint, res.Conn)
			}
			l.attemptEnded(a, res)
		})
	}()
}

// attemptEnded is the event of an attempt's end, after its connection was released.
func (l *Loop) attemptEnded(a *Attempt, res Result) {
	c := a.Call
	c.attempt = nil
	final := c.isAnswered
	switch {
	case res.Response == nil:
	case res.Status == decision.OK && !c.isAnswered:
		final = true
		l.answerCall(c, Answer{Response: res.Response})
	default:
		res.Response.Discard()
	}
	if line := l.log.Check(zap.DebugLevel, "attempt.ended"); line != nil {
		line.Write(append(l.logFields(c), zap.Uint32("endpoint", uint32(a.Endpoint.ID)), zap.Int("attempt", a.number),
			zap.Stringer("status", res.Status), zap.Duration("took", res.Elapsed))...)
	}
	l.balancer.Outcome(l.now(), decision.Outcome{
		ID: c.ID, Endpoint: a.Endpoint.ID, Attempt: a.number, Final: final,
		Elapsed: res.Elapsed, Status: res.Status, Load: res.Load, NotReplayable: res.NotReplayable,
	})
	l.removeIfDone(c)
}

// RequestSent is called when the last byte of a long body was sent: the client's time, and the endpoint's, count from
// now on. It implements AttemptObserver.
func (l *Loop) RequestSent(a *Attempt) {
	received := time.Now()
	l.Post(func() {
		c := a.Call
		if c.attempt != a {
			return
		}
		c.Deadline = received.Add(c.Remaining)
		c.limitDeadline(l.drainDeadline)
		a.SetDeadline(c.Deadline)
		l.balancer.RequestSent(l.now(), c.ID, time.Until(c.Deadline))
	})
}

// StartResponse answers a call with a long response that its front delivers as it arrives. It implements AttemptObserver.
func (l *Loop) StartResponse(a *Attempt, response Response) {
	l.Post(func() {
		c := a.Call
		if c.isAnswered || a.Ctx.Err() != nil { // abandoned or cancelled in the meantime
			response.Discard()
			return
		}
		l.balancer.ResponseStarted(l.now(), c.ID, a.number, a.Endpoint.ID)
		l.answerCall(c, Answer{Response: response})
	})
}

// AdoptAttempt takes over an attempt that the preceding process began. Its connection was reserved by ReserveConn.
func (l *Loop) AdoptAttempt(a *Attempt) { l.Post(func() { l.adopted[a] = true }) }

// AdoptedEnded is called when an adopted attempt and its connection have ended.
func (l *Loop) AdoptedEnded(a *Attempt) {
	l.Post(func() {
		delete(l.adopted, a)
		l.pool.total--
	})
}

// ReserveConn counts a connection to an endpoint that the preceding process has made. It is false where there may be no
// further connection, and once the loop has ended.
func (l *Loop) ReserveConn() bool {
	return query(l, l.pool.reserve)
}

// ReleaseConn ends a reservation by ReserveConn whose connection was not taken over.
func (l *Loop) ReleaseConn() { l.Post(func() { l.pool.total-- }) }
