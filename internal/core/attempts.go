package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// Upstream carries out attempts in a specific protocol.
type Upstream interface {
	// Send carries out one attempt over an idle connection to its endpoint, or over a new connection if idle is nil.
	// When it returns, the connection is either closed or part of the result, so that the call may be sent again. It
	// may block until shortly after the context of the attempt is done.
	Send(a *Attempt, idle Conn) Result
}

// Result is the outcome of an attempt.
type Result struct {
	Status        decision.Status
	Elapsed       time.Duration  // from the sending of the request to the response
	Response      Response       // a complete, successful response; nil for a failure or after StartResponse
	Load          *decision.Load // load reported by the endpoint; nil if it reported none
	Conn          Conn           // connection that can carry another attempt; nil if it was closed
	NotReplayable bool           // the request cannot be sent again
}

// Response is a successful response of an endpoint. The protocol implementation defines its contents.
type Response interface {
	// Discard releases the resources of the response, whether or not it was delivered.
	Discard()
}

// startAttempt runs an attempt in its own goroutine. If the pool has no connection for the attempt, it ends with the
// status decision.NotSent.
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

// attemptEnded handles the end of an attempt, after its connection was released. It answers the call if the attempt
// succeeded, and reports the outcome to the Balancer.
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

// RequestSent is called when the last byte of a long body has been sent. The deadline of the call, and so that of its
// attempt, counts from this moment. It implements AttemptObserver.
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

// StartResponse answers a call with a long response that the frontend delivers as it arrives. It implements
// AttemptObserver.
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

// AdoptAttempt takes over an attempt that the predecessor of this process started. The caller has reserved its connection with
// ReserveConn.
func (l *Loop) AdoptAttempt(a *Attempt) { l.Post(func() { l.adopted[a] = true }) }

// AdoptedEnded is called when an adopted attempt has ended and its connection is closed.
func (l *Loop) AdoptedEnded(a *Attempt) {
	l.Post(func() {
		delete(l.adopted, a)
		l.pool.total--
	})
}

// ReserveConn reserves a place in the pool for a connection to an endpoint that the predecessor has established. It
// returns false if the connection limit is reached or the loop is closed.
func (l *Loop) ReserveConn() bool {
	return query(l, l.pool.reserve)
}

// ReleaseConn cancels a reservation made by ReserveConn whose connection was not taken over.
func (l *Loop) ReleaseConn() { l.Post(func() { l.pool.total-- }) }
