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

// exchangeStreaming sends a streamed request and watches for a response at the same time: an
// endpoint may reject the request before its end. The endpoint does not execute a request before it
// has the last byte.
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

// errAnsweredEarly is a response that is received before the request's last byte is written.
var errAnsweredEarly = errors.New("answered too early")

// isFullySent reports whether the last byte of the request is written. The response may be received
// before the sending goroutine has noted it.
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

// earlyAnswerTimeout is how long an endpoint that closed in the middle of an upload may take to
// send its response, and how long the sending goroutine may take to note the last byte.
const earlyAnswerTimeout = 200 * time.Millisecond

// sendStreaming writes a request with a streamed body. It returns the errors of the client's and of
// the endpoint's side apart.
func (a *attempt) sendStreaming(c *upstreamConn, memory *core.Memory) (callerErr, writeErr error) {
	u := a.request.upload
	if !u.resumed {
		c.SetWriteDeadline(time.Now().Add(streamStallTimeout))
		pieces := append(net.Buffers{a.request.encodeHead(a.AnswerWithin)}, frameChunks(a.request.body, u.body.chunks != nil)...)
		if _, err := pieces.WriteTo(c.Conn); err != nil {
			return nil, err
		}
	}
	buffer := memory.Buffers.Get()
	defer memory.Buffers.Put(buffer)
	callerErr, writeErr = u.send(a, c, buffer)
	if callerErr == nil && writeErr == nil {
		a.RequestSent()
		close(a.fullySent)
	}
	return callerErr, writeErr
}

// answerWatcher waits for a response while a streamed request is being sent. Until input is
// received it can be paused, so that the connection can be transferred with nothing of the response
// read.
type answerWatcher struct {
	mu sync.Mutex
	// The waiting goroutine is to pause.
	pauseRequested bool
	// Closed once input has been received.
	received chan struct{}
	// Receives from the waiting goroutine when it has paused.
	paused chan struct{}
	// Tells the paused goroutine whether to go on.
	resume chan bool
}

// newAnswerWatcher returns a watcher of one attempt.
func newAnswerWatcher() *answerWatcher {
	return &answerWatcher{received: make(chan struct{}), paused: make(chan struct{}), resume: make(chan bool)}
}

// wait waits for input. It returns errTransferred if the connection now belongs to the successor.
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

// errAnswerBegun says that a response has begun to arrive and the upload cannot be transferred.
var errAnswerBegun = errors.New("an answer has begun to come")

// whileUnread calls f while nothing of the response is read. If f fails, or input has been received
// already, the attempt goes on.
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
