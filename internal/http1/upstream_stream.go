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

// exchangeStreaming sends a long body as it comes, and listens at the same time: an endpoint may turn it away before
// its end. Until the last byte is out the request has not run.
func (a *attempt) exchangeStreaming(c *upstreamConn, memory *core.Memory) (res result) {
	if u := a.request.upload; !u.resumed && u.client.hasHungUp() {
		// Nobody has read on while it waited: that its caller has gone stands behind the body.
		u.reportReadError(errClientGone)
		return result{status: decision.NotSent, consumed: u.consumed}
	}
	type ending struct{ caller, write error }
	sent := make(chan ending, 1)
	go func() {
		var e ending
		e.caller, e.write = a.sendStreaming(c, memory)
		switch {
		case e.caller != nil, e.write == errTooLate:
			a.Cancel()
		case errors.Is(e.write, errTransferred):
		case e.write != nil:
			c.SetReadDeadline(time.Now().Add(earlyAnswerTimeout)) // what it said before it broke off
		}
		sent <- e
	}()
	answer := make(chan result, 1)
	go func() {
		if a.watcher.wait(c) != nil {
			return // it is passed on
		}
		answer <- a.awaitResponse(c, memory)
	}()
	var e ending
	select {
	case e = <-sent:
		if errors.Is(e.write, errTransferred) {
			return result{status: decision.Cancelled, consumed: true}
		}
		res = <-answer
	case res = <-answer:
		select {
		case e = <-sent:
		case <-a.fullySent: // its last byte is out, and its sender about to say so
			e = <-sent
		default:
			a.Cancel() // ends the sending, unless that has just ended: then it has run
			if e = <-sent; e != (ending{}) {
				e = ending{write: errAnsweredEarly}
			}
		}
	}
	if e == (ending{}) {
		res.consumed = true
		return res
	}
	// Its last byte is not out: whatever was answered, it has not run.
	early := res.status
	res = result{status: decision.NotSent, consumed: a.request.upload.consumed}
	switch {
	case early == decision.Rejected:
		res.status = decision.Rejected
	case e.caller == nil && e.write != errAnsweredEarly && e.write != errTooLate:
		res.status = a.unsentStatus()
	}
	return res
}

// errAnsweredEarly is an answer that comes before the request's last byte is out.
var errAnsweredEarly = errors.New("answered too early")

// isFullySent tells whether the last byte of the request is out. Its answer may be here before its sender knows.
func (a *attempt) isFullySent() bool {
	if a.request.upload == nil {
		return true
	}
	select {
	case <-a.fullySent:
		return true
	case <-time.After(earlyAnswerTimeout):
		return false
	}
}

// earlyAnswerTimeout is how long an endpoint that broke off in the middle of a body may take to say why.
const earlyAnswerTimeout = 200 * time.Millisecond

// sendStreaming writes a request with a long body.
func (a *attempt) sendStreaming(c *upstreamConn, memory *core.Memory) (callerErr, writeErr error) {
	u := a.request.upload
	if !u.resumed {
		c.SetWriteDeadline(time.Now().Add(streamStallTimeout))
		pieces := append(net.Buffers{a.request.encodeHead(a.Left)}, frameChunks(a.request.body, u.body.chunks != nil)...)
		if _, err := pieces.WriteTo(c.Conn); err != nil {
			return nil, err
		}
	}
	buffer := memory.Buffers.Get()
	defer memory.Buffers.Put(buffer)
	callerErr, writeErr = u.send(a, c, buffer)
	if callerErr == nil && writeErr == nil {
		a.Written()
		close(a.fullySent)
	}
	return callerErr, writeErr
}

// answerWatcher is what listens for an endpoint's answer while a long body is still going out. Until something comes it can be
// made to hold still, so that the connection may be passed on with nothing of it read.
type answerWatcher struct {
	mu             sync.Mutex
	pauseRequested bool          // it is to hold still
	received       chan struct{} // closed once something has come
	paused         chan struct{} // it holds still
	resume         chan bool     // whether it is to go on, where it holds still
}

func newAnswerWatcher() *answerWatcher {
	return &answerWatcher{received: make(chan struct{}), paused: make(chan struct{}), resume: make(chan bool)}
}

// wait waits for something to come. It returns errPassedOn when the connection is the successor's.
func (e *answerWatcher) wait(c *upstreamConn) error {
	for {
		err := awaitInput(c.Conn)
		e.mu.Lock()
		still := e.pauseRequested
		e.pauseRequested = false
		if still {
			c.SetReadDeadline(time.Time{})
		}
		silent := still && errors.Is(err, os.ErrDeadlineExceeded)
		if !silent {
			close(e.received)
		}
		e.mu.Unlock()
		if !silent {
			return nil // whatever it is, it shows when it is read
		}
		e.paused <- struct{}{}
		if !<-e.resume {
			return errTransferred
		}
	}
}

var errAnswerBegun = errors.New("an answer has begun to come")

// whileUnread calls f while nothing of the endpoint's answer is read. If f fails, or something has come already, the
// attempt goes on.
func (a *attempt) whileUnread(c *upstreamConn, f func() error) error {
	e := a.watcher
	e.mu.Lock()
	select {
	case <-e.received:
		e.mu.Unlock()
		return errAnswerBegun
	default:
	}
	e.pauseRequested = true
	c.SetReadDeadline(time.Now())
	e.mu.Unlock()
	select {
	case <-e.received:
		return errAnswerBegun
	case <-e.paused:
	}
	err := f()
	e.resume <- err != nil
	return err
}
