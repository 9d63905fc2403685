package http1

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// upload is the part of a long body that is not held. It is read by the attempt that sends it, once. Like a relay
// it can be passed on between two of its steps.
type upload struct {
	client   *downstreamConn
	body     *requestBody
	isLate   func() bool // nobody should be asking here any more, when its last byte comes
	transfer func(*attempt, *upstreamConn) error

	received int64  // bytes of the body that have been read
	pending  []byte // framed, for the endpoint
	complete bool   // its last byte has been read
	consumed bool   // reading has begun: what comes of it is in nobody's memory
	resumed  bool   // another process has begun to send it

	bodyRead    chan struct{} // closed once all has been read
	readFailed  chan error    // why it can't be read to its end
	transferred chan struct{} // closed once it is the successor's

	transferMu sync.Mutex // held while it is being passed on
	answered   bool       // it has its answer: it is passed on no more
	handedOff  bool       // it is the successor's

	pauseControl
	target *upstreamConn // that it goes out on; nil while it does not. The pause's mutex guards it
}

func newUpload(c *downstreamConn, body *requestBody, late func() bool) *upload {
	u := &upload{client: c, body: body, isLate: late,
		bodyRead: make(chan struct{}), readFailed: make(chan error, 1), transferred: make(chan struct{})}
	if u.received = body.length - body.remaining; body.chunks != nil {
		u.received = maxBufferedBody // what is held of it
	}
	return u
}

// errTooLate is a body whose last byte came when its caller should have gone elsewhere.
var errTooLate = errors.New("it came too late")

// send writes what is still to come. It returns the caller's fault apart from the writer's.
func (u *upload) send(a *attempt, c *upstreamConn, buffer []byte) (callerErr, writeErr error) {
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
			if callerErr, writeErr = u.readNext(buffer); callerErr != nil || writeErr != nil {
				return callerErr, writeErr
			}
		}
	}
}

// reportReadError tells, once, why the body can't be read to its end.
func (u *upload) reportReadError(err error) {
	select {
	case u.readFailed <- err:
	default:
	}
}

// readNext reads the next piece.
func (u *upload) readNext(buffer []byte) (callerErr, writeErr error) {
	n, err := u.body.Read(buffer[chunkHeaderRoom : len(buffer)-chunkEndRoom])
	if u.received += int64(n); u.received > maxStreamedBody {
		u.reportReadError(errTooLarge)
		return errTooLarge, nil
	}
	framed := u.body.chunks != nil
	u.pending = frameInPlace(buffer, n, framed)
	switch {
	case errors.Is(err, io.EOF):
		u.complete, u.client.rateEnforced = true, false
		close(u.bodyRead)
		if u.isLate() {
			return nil, errTooLate // without its end it does not run
		}
		if framed {
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

// setTarget notes the connection that the upload goes out on.
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

// interrupt asks the upload to stop between two steps and to be passed on.
func (u *upload) interrupt() {
	u.requestPause(func(now time.Time) {
		if u.target == nil {
			u.requested = false // it does not go out yet, or any more
			return
		}
		u.target.SetWriteDeadline(now)
		u.client.pauseRequested.Store(true)
		u.client.Conn.SetReadDeadline(now)
	})
}

// tryTransfer passes the upload on; if that fails it goes on here. Once its last byte has been read it stays: its caller
// is watched then by who awaits the answer, and its answer can be passed on.
func (u *upload) tryTransfer(a *attempt, c *upstreamConn) bool {
	if u.transferNow(a, c) {
		return true
	}
	u.resume(func() { u.client.pauseRequested.Store(false) })
	return false
}

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

// markAnswered is called before the caller is answered. It tells whether its connection has become the successor's, and
// keeps it from that if not.
func (u *upload) markAnswered() (handedOff bool) {
	u.transferMu.Lock()
	defer u.transferMu.Unlock()
	u.answered = true
	return u.handedOff
}
