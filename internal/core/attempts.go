package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// Upstream carries attempts out, in a protocol.
type Upstream interface {
	// Send makes one attempt. The connection is one that its endpoint's last attempt has left; nil asks for a new
	// one. When Send returns, the connection is closed or in the result, so that the call may be sent again. It may
	// block until the attempt's context ends, and little longer.
	Send(a *Attempt, over Conn) Result
}

// Result is how an attempt ended.
type Result struct {
	Status        decision.Status
	Elapsed       time.Duration  // from the sending to the answer
	Response      Response       // the whole of a good answer; nil otherwise, and for one that was begun
	Load          *decision.Load // that the endpoint has reported; nil for none
	Conn          Conn           // that can carry another attempt; nil for none
	NotReplayable bool           // what was sent cannot be sent again
}

// Response is an endpoint's good answer, in terms of the protocol.
type Response interface {
	// Discard lets go of it, whether it was passed on or not.
	Discard()
}

// closed takes the end of an attempt, whose connection has been given back.
func (l *Loop) attemptEnded(a *Attempt, res Result) {
	c := a.Call
	c.attempt = nil
	final := c.answered
	switch {
	case res.Response == nil:
	case res.Status == decision.OK && !c.answered:
		final = true
		l.finish(c, Answer{Response: res.Response})
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
	l.forget(c)
}

// Written tells the Balancer that a long body is out: the client's time, and the endpoint's, count from now.
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

// Begin gives a call a long answer, that its front passes on as it comes.
func (l *Loop) StartResponse(a *Attempt, response Response) {
	l.Post(func() {
		c := a.Call
		if c.answered || a.Ctx.Err() != nil { // given up in this moment
			response.Discard()
			return
		}
		l.balancer.ResponseStarted(l.now(), c.ID, a.number, a.Endpoint.ID)
		l.finish(c, Answer{Response: response})
	})
}

// Adopt notes an attempt that the process before has begun, and Disown that it has ended. Its connection has a place
// that was reserved.
func (l *Loop) AdoptAttempt(a *Attempt) { l.Post(func() { l.adopted[a] = true }) }

func (l *Loop) AdoptedEnded(a *Attempt) {
	l.Post(func() {
		delete(l.adopted, a)
		l.pool.total--
	})
}

// Reserve takes a place for a connection to an endpoint that the process before has made, and Unreserve gives it
// back.
func (l *Loop) ReserveConn() bool {
	return look(l, l.pool.reserve)
}

func (l *Loop) ReleaseConn() { l.Post(func() { l.pool.total-- }) }
