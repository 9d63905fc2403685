package http1

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
)

// exchangeLong sends a long body as it comes, and listens at the same time: an endpoint may turn it away before
// its end. Until the last byte is out the request has not run.
func (a *attempt) exchangeLong(c *conn, room *core.Memory) (res result) {
	if u := a.in.more; !u.resumed && u.caller.gone() {
		// Nobody has read on while it waited: that its caller has gone stands behind the body.
		u.breakOff(errCallerGone)
		return result{status: decision.NotSent, spent: u.spent}
	}
	type ending struct{ caller, write error }
	sent := make(chan ending, 1)
	go func() {
		var e ending
		e.caller, e.write = a.sendLong(c, room)
		switch {
		case e.caller != nil, e.write == errLate:
			a.Cancel()
		case errors.Is(e.write, errPassedOn):
		case e.write != nil:
			c.SetReadDeadline(time.Now().Add(lastWord)) // what it said before it broke off
		}
		sent <- e
	}()
	answer := make(chan result, 1)
	go func() {
		if a.ear.listen(c) != nil {
			return // it is passed on
		}
		answer <- a.hear(c, room)
	}()
	var e ending
	select {
	case e = <-sent:
		if errors.Is(e.write, errPassedOn) {
			return result{status: decision.Cancelled, spent: true}
		}
		res = <-answer
	case res = <-answer:
		select {
		case e = <-sent:
		case <-a.out: // its last byte is out, and its sender about to say so
			e = <-sent
		default:
			a.Cancel() // ends the sending, unless that has just ended: then it has run
			if e = <-sent; e != (ending{}) {
				e = ending{write: errEarly}
			}
		}
	}
	if e == (ending{}) {
		res.spent = true
		return res
	}
	// Its last byte is not out: whatever was answered, it has not run.
	early := res.status
	res = result{status: decision.NotSent, spent: a.in.more.spent}
	switch {
	case early == decision.Rejected:
		res.status = decision.Rejected
	case e.caller == nil && e.write != errEarly && e.write != errLate:
		res.status = a.unsent()
	}
	return res
}

// errEarly is an answer that comes before the request's last byte is out.
var errEarly = errors.New("answered too early")

// isOut tells whether the last byte of the request is out. Its answer may be here before its sender knows.
func (a *attempt) isOut() bool {
	if a.in.more == nil {
		return true
	}
	select {
	case <-a.out:
		return true
	case <-time.After(lastWord):
		return false
	}
}

// lastWord is how long an endpoint that broke off in the middle of a body may take to say why.
const lastWord = 200 * time.Millisecond

// sendLong writes a request with a long body.
func (a *attempt) sendLong(c *conn, room *core.Memory) (callerErr, writeErr error) {
	u := a.in.more
	if !u.resumed {
		c.SetWriteDeadline(time.Now().Add(relayStall))
		pieces := append(net.Buffers{a.in.encode(a.Left)}, framed(a.in.body, u.body.chunks != nil)...)
		if _, err := pieces.WriteTo(c.Conn); err != nil {
			return nil, err
		}
	}
	buffer := room.Buffers.Get()
	defer room.Buffers.Put(buffer)
	callerErr, writeErr = u.pass(a, c, buffer)
	if callerErr == nil && writeErr == nil {
		a.Written()
		close(a.out)
	}
	return callerErr, writeErr
}

// ear is what listens for an endpoint's answer while a long body is still going out. Until something comes it can be
// made to hold still, so that the connection may be passed on with nothing of it read.
type ear struct {
	mu    sync.Mutex
	still bool          // it is to hold still
	heard chan struct{} // closed once something has come
	quiet chan struct{} // it holds still
	goOn  chan bool     // whether it is to go on, where it holds still
}

func newEar() *ear {
	return &ear{heard: make(chan struct{}), quiet: make(chan struct{}), goOn: make(chan bool)}
}

// listen waits for something to come. It returns errPassedOn when the connection is the successor's.
func (e *ear) listen(c *conn) error {
	for {
		err := awaitInput(c.Conn)
		e.mu.Lock()
		still := e.still
		e.still = false
		if still {
			c.SetReadDeadline(time.Time{})
		}
		silent := still && errors.Is(err, os.ErrDeadlineExceeded)
		if !silent {
			close(e.heard)
		}
		e.mu.Unlock()
		if !silent {
			return nil // whatever it is, it shows when it is read
		}
		e.quiet <- struct{}{}
		if !<-e.goOn {
			return errPassedOn
		}
	}
}

var errHeard = errors.New("an answer has begun to come")

// quietly calls f while nothing of the endpoint's answer is read. If f fails, or something has come already, the
// attempt goes on.
func (a *attempt) quietly(c *conn, f func() error) error {
	e := a.ear
	e.mu.Lock()
	select {
	case <-e.heard:
		e.mu.Unlock()
		return errHeard
	default:
	}
	e.still = true
	c.SetReadDeadline(time.Now())
	e.mu.Unlock()
	select {
	case <-e.heard:
		return errHeard
	case <-e.quiet:
	}
	err := f()
	e.goOn <- err != nil
	return err
}
