package http1

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// upload copies the rest of a streamed request body from a client to an endpoint. It runs at most
// once, in the attempt that sends the request. Like a relay it can be transferred between two steps.
type upload struct {
	client *downstreamConn
	body   *requestBody
	// Reports whether a last byte that is read now is too late to be answered; see uploadTooLate.
	isLate func() bool
	// Transfers the upload to the successor; nil if it cannot be transferred.
	transfer func(*attempt, *upstreamConn) error

	// The number of bytes of the body that have been read.
	received int64
	// Framed bytes that have not been written to the endpoint.
	pending []byte
	// The last byte of the body has been read.
	complete bool
	// Reading has begun. The bytes that are read from then on are not kept, so the request cannot be
	// sent again.
	consumed bool
	// The upload was received from the predecessor, which has sent the beginning of the request.
	resumed bool

	// Closed once the whole body has been read.
	bodyRead chan struct{}
	// Receives, at most once, the error that ended the reading of the body.
	readFailed chan error
	// Closed once the upload belongs to the successor.
	transferred chan struct{}

	// Held while the upload is transferred. It guards answered and handedOff.
	transferMu sync.Mutex
	// The request is answered: the upload can no longer be transferred.
	answered bool
	// The upload belongs to the successor.
	handedOff bool

	pauseControl
	// The endpoint's connection while the copy runs; else nil. Guarded by pauseControl.mu.
	target *upstreamConn
}

// newUpload returns the upload of the unread rest of a body.
func newUpload(c *downstreamConn, body *requestBody, isLate func() bool) *upload {
	u := &upload{
		client: c, body: body, isLate: isLate,
		bodyRead: make(chan struct{}), readFailed: make(chan error, 1), transferred: make(chan struct{}),
	}
	if u.received = body.length - body.remaining; body.chunks != nil {
		u.received = maxBufferedBody // readBody has read this part of a body that is streamed
	}
	return u
}

// errTooLate reports an upload whose last byte is received after the grace of a drain or handover.
var errTooLate = errors.New("upload ended after the grace of the drain or handover")

// send copies the rest of the body to a connection. It returns errors of the client's side and of the
// endpoint's side separately.
func (u *upload) send(a *attempt, c *upstreamConn, buffer []byte) (clientErr, writeErr error) {
	u.consumed = true
	u.setTarget(c)
	defer u.setTarget(nil)
	for {
		switch {
		case u.pauseRequested() && u.tryTransfer(a, c):
			return nil, errTransferred
		case len(u.pending) > 0:
			u.setDeadline(c.SetWriteDeadline, streamStallTimeout)
			n, err := c.Conn.Write(u.pending)
			if u.pending = u.pending[n:]; err != nil && !u.interrupted(err) {
				return nil, fmt.Errorf("body: %w", err)
			}
		case u.complete:
			return nil, nil
		default:
			if clientErr, writeErr = u.readNext(buffer); clientErr != nil || writeErr != nil {
				return clientErr, writeErr
			}
		}
	}
}

// reportReadError sends the error that ended the reading of the body on readFailed. Only the first
// call has an effect.
func (u *upload) reportReadError(err error) {
	select {
	case u.readFailed <- err:
	default:
	}
}

// readNext reads the next piece of the body.
func (u *upload) readNext(buffer []byte) (clientErr, writeErr error) {
	n, err := u.body.Read(buffer[chunkHeaderRoom : len(buffer)-chunkEndRoom])
	if u.received += int64(n); u.received > maxStreamedBody {
		u.reportReadError(errTooLarge)
		return errTooLarge, nil
	}
	chunked := u.body.chunks != nil
	u.pending = frameInPlace(buffer, n, chunked)
	switch {
	case errors.Is(err, io.EOF):
		u.complete, u.client.rateEnforced = true, false
		close(u.bodyRead)
		if u.isLate() {
			// The last byte is not sent: without it the endpoint does not execute the request.
			return nil, errTooLate
		}
		if chunked {
			u.pending = append(u.pending[:len(u.pending):len(u.pending)], lastChunk(u.body.trailer())...)
		}
	case errors.Is(err, errPaused):
	case errors.Is(err, errBodyAbandoned):
		return nil, err
	case err != nil:
		if !u.client.bodyAbandoned.Load() {
			u.reportReadError(err)
		}
		return err, nil
	}
	return nil, nil
}

// setTarget sets the endpoint's connection while the copy runs, and nil after it.
func (u *upload) setTarget(c *upstreamConn) {
	u.mu.Lock()
	u.target = c
	u.requested = false
	u.client.pauseRequested.Store(false)
	u.mu.Unlock()
	if c == nil {
		u.client.setStream(nil)
	} else {
		u.client.setStream(u)
	}
}

// interrupt implements transferable.
func (u *upload) interrupt() {
	u.requestPause(func(now time.Time) {
		if u.target == nil {
			// The upload has not begun or has ended.
			u.requested = false
			return
		}
		u.target.SetWriteDeadline(now)
		u.client.pauseRequested.Store(true)
		u.client.Conn.SetReadDeadline(now)
	})
}

// tryTransfer transfers the upload and reports whether it did. If not, the upload continues in this
// process. An upload whose last byte has been read is not transferred: awaitAnswer watches its client
// by then, and its response can be transferred instead.
func (u *upload) tryTransfer(a *attempt, c *upstreamConn) bool {
	if u.transferNow(a, c) {
		return true
	}
	u.resume(func() { u.client.pauseRequested.Store(false) })
	return false
}

// transferNow transfers the upload unless it is complete or answered, and reports whether it did.
func (u *upload) transferNow(a *attempt, c *upstreamConn) bool {
	u.transferMu.Lock()
	defer u.transferMu.Unlock()
	if u.complete || u.answered || u.transfer == nil || a.whileUnread(c, func() error { return u.transfer(a, c) }) != nil {
		return false
	}
	u.handedOff = true
	close(u.transferred)
	return true
}

// markAnswered is called before the client is answered. It prevents later transfers, and reports
// whether the upload already belongs to the successor.
func (u *upload) markAnswered() (handedOff bool) {
	u.transferMu.Lock()
	defer u.transferMu.Unlock()
	u.answered = true
	return u.handedOff
}
