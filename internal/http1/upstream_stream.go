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

// sendResult is the outcome of sending a streamed request: an error of the client's side or of the
// endpoint's side. Both are nil if the last byte was written.
type sendResult struct{ client, endpoint error }

// exchangeStreaming sends a streamed request and waits for a response at the same time, because an
// endpoint may reject the request before its end. Endpoints do not execute a request before they have
// received its last byte.
func (a *attempt) exchangeStreaming(c *upstreamConn, memory *core.Memory) (res result) {
	if u := a.request.upload; !u.resumed && u.client.hasHungUp() {
		// The client's connection was not read while the request was queued, so a hang-up is detected here.
		u.reportReadError(errClientGone)
		return result{status: decision.NotSent, consumed: u.consumed}
	}
	sent := make(chan sendResult, 1)
	go func() { sent <- a.sendAndCancel(c, memory) }()
	responses := make(chan result, 1)
	go func() {
		if a.watcher.wait(c) != nil {
			return // the connection belongs to the successor
		}
		responses <- a.awaitResponse(c, memory)
	}()
	var send sendResult
	select {
	case send = <-sent:
		if errors.Is(send.endpoint, errTransferred) {
			return result{status: decision.Cancelled, consumed: true}
		}
		res = <-responses
	case res = <-responses:
		send = a.stopSending(sent)
	}
	if send == (sendResult{}) {
		res.consumed = true
		return res
	}
	return a.partlySent(res, send)
}

// sendAndCancel sends a streamed request, and cancels the attempt if the request cannot be
// completed.
func (a *attempt) sendAndCancel(c *upstreamConn, memory *core.Memory) (send sendResult) {
	send.client, send.endpoint = a.sendStreaming(c, memory)
	switch {
	case send.client != nil, errors.Is(send.endpoint, errTooLate):
		a.Cancel()
	case errors.Is(send.endpoint, errTransferred):
	case send.endpoint != nil:
		// The endpoint may have sent a response before it closed.
		c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	}
	return send
}

// stopSending ends the sending of a request whose response has been received, and returns its
// result.
func (a *attempt) stopSending(sent <-chan sendResult) sendResult {
	select {
	case send := <-sent:
		return send
	case <-a.fullySent:
		// The sending goroutine has written the last byte and is about to report its result.
		return <-sent
	default:
	}
	// Cancel ends the sending, unless the last byte has just been written: then the request was executed.
	a.Cancel()
	if <-sent == (sendResult{}) {
		return sendResult{}
	}
	return sendResult{endpoint: errEarlyResponse}
}

// partlySent returns the result of an attempt whose last byte was not written. The request was not
// executed, whatever the response.
func (a *attempt) partlySent(response result, send sendResult) result {
	res := result{status: decision.NotSent, consumed: a.request.upload.consumed}
	switch {
	case response.status == decision.Rejected:
		res.status = decision.Rejected
	case send.client == nil && !errors.Is(send.endpoint, errEarlyResponse) && !errors.Is(send.endpoint, errTooLate):
		res.status = a.unsentStatus()
	}
	return res
}

// errEarlyResponse reports a response that is received before the request's last byte is written.
var errEarlyResponse = errors.New("response received before the end of the request")

// isFullySent reports whether the last byte of the request is written. It waits up to
// earlyResponseTimeout, because the response may be received before the sending goroutine has reported
// the last byte.
func (a *attempt) isFullySent() bool {
	if a.request.upload == nil {
		return true
	}
	select {
	case <-a.fullySent:
		return true
	case <-time.After(earlyResponseTimeout):
		return false
	}
}

// earlyResponseTimeout is how long the response of an endpoint that closed in the middle of an upload
// is awaited, and how long the sending goroutine may take to report the last byte.
const earlyResponseTimeout = 200 * time.Millisecond

// sendStreaming writes a request with a streamed body. It returns errors of the client's side and of
// the endpoint's side separately.
func (a *attempt) sendStreaming(c *upstreamConn, memory *core.Memory) (clientErr, writeErr error) {
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
	clientErr, writeErr = u.send(a, c, buffer)
	if clientErr == nil && writeErr == nil {
		a.RequestSent()
		close(a.fullySent)
	}
	return clientErr, writeErr
}

// responseWatcher waits for a response while a streamed request is being sent. Until input is received
// the wait can be paused, so that the connection can be transferred before any byte of the response
// is read.
type responseWatcher struct {
	mu sync.Mutex
	// The waiting goroutine has to pause.
	pauseRequested bool
	// Closed once input has been received.
	received chan struct{}
	// Receives from the waiting goroutine when it has paused.
	paused chan struct{}
	// Sends the paused goroutine whether it continues.
	resume chan bool
}

// newResponseWatcher returns a watcher of one attempt.
func newResponseWatcher() *responseWatcher {
	return &responseWatcher{received: make(chan struct{}), paused: make(chan struct{}), resume: make(chan bool)}
}

// wait waits for input. It returns errTransferred if the connection now belongs to the successor.
func (w *responseWatcher) wait(c *upstreamConn) error {
	for {
		err := awaitInput(c.Conn)
		w.mu.Lock()
		pausing := w.pauseRequested
		w.pauseRequested = false
		if pausing {
			c.SetReadDeadline(time.Time{})
		}
		interrupted := pausing && errors.Is(err, os.ErrDeadlineExceeded)
		if !interrupted {
			close(w.received)
		}
		w.mu.Unlock()
		if !interrupted {
			return nil // reading the response returns an error of the connection again
		}
		w.paused <- struct{}{}
		if !<-w.resume {
			return errTransferred
		}
	}
}

// errResponseBegun reports that part of the response has been received, so the upload cannot be
// transferred.
var errResponseBegun = errors.New("part of the response has already been received")

// whileUnread calls f while the wait for the response is paused and no byte of the response has been
// read. If f fails, or input has already been received, the attempt continues.
func (a *attempt) whileUnread(c *upstreamConn, f func() error) error {
	watcher := a.watcher
	watcher.mu.Lock()
	select {
	case <-watcher.received:
		watcher.mu.Unlock()
		return errResponseBegun
	default:
	}
	watcher.pauseRequested = true
	c.SetReadDeadline(time.Now())
	watcher.mu.Unlock()
	select {
	case <-watcher.received:
		return errResponseBegun
	case <-watcher.paused:
	}
	err := f()
	watcher.resume <- err != nil
	return err
}
