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
	caller *caller
	body   *requestBody
	late   func() bool // nobody should be asking here any more, when its last byte comes
	gift   func(*attempt, *conn) error

	total   int64  // bytes of the body that have been read
	pending []byte // framed, for the endpoint
	whole   bool   // its last byte has been read
	spent   bool   // reading has begun: what comes of it is in nobody's memory
	resumed bool   // another process has begun to send it

	ended  chan struct{} // closed once all has been read
	broken chan error    // why it can't be read to its end
	passed chan struct{} // closed once it is the successor's

	own     sync.Mutex // held while it is being passed on
	settled bool       // it has its answer: it is passed on no more
	gone    bool       // it is the successor's

	pause
	to *conn // that it goes out on; nil while it does not. The pause's mutex guards it
}

func newUpload(c *caller, body *requestBody, late func() bool) *upload {
	u := &upload{caller: c, body: body, late: late,
		ended: make(chan struct{}), broken: make(chan error, 1), passed: make(chan struct{})}
	if u.total = body.length - body.left; body.chunks != nil {
		u.total = maxBody // what is held of it
	}
	return u
}

// errLate is a body whose last byte came when its caller should have gone elsewhere.
var errLate = errors.New("it came too late")

// pass writes what is still to come. It returns the caller's fault apart from the writer's.
func (u *upload) pass(a *attempt, c *conn, buffer []byte) (callerErr, writeErr error) {
	u.spent = true
	u.begin(c)
	defer u.begin(nil)
	for {
		switch {
		case u.isAsked() && u.passOn(a, c):
			return nil, errPassedOn
		case len(u.pending) > 0:
			u.within(c.SetWriteDeadline, relayStall)
			n, err := c.Conn.Write(u.pending)
			if u.pending = u.pending[n:]; err != nil && !u.interrupted(err) {
				return nil, fmt.Errorf("body: %w", err)
			}
		case u.whole:
			return nil, nil
		default:
			if callerErr, writeErr = u.fill(buffer); callerErr != nil || writeErr != nil {
				return callerErr, writeErr
			}
		}
	}
}

// breakOff tells, once, why the body can't be read to its end.
func (u *upload) breakOff(err error) {
	select {
	case u.broken <- err:
	default:
	}
}

// fill reads the next piece.
func (u *upload) fill(buffer []byte) (callerErr, writeErr error) {
	n, err := u.body.Read(buffer[chunkFrame : len(buffer)-chunkTail])
	if u.total += int64(n); u.total > maxLong {
		u.breakOff(errTooLarge)
		return errTooLarge, nil
	}
	framed := u.body.chunks != nil
	u.pending = inFrame(buffer, n, framed)
	switch {
	case errors.Is(err, io.EOF):
		u.whole, u.caller.paced = true, false
		close(u.ended)
		if u.late() {
			return nil, errLate // without its end it does not run
		}
		if framed {
			u.pending = append(u.pending[:len(u.pending):len(u.pending)], lastChunk(u.body.trailer())...)
		}
	case errors.Is(err, errAsked):
	case errors.Is(err, errStopped):
		return nil, err
	case err != nil:
		if !u.caller.stopped.Load() {
			u.breakOff(err)
		}
		return err, nil
	}
	return nil, nil
}

// begin notes the connection that the upload goes out on.
func (u *upload) begin(c *conn) {
	u.mu.Lock()
	u.to = c
	u.asked = false
	u.caller.asked.Store(false)
	u.mu.Unlock()
	if c == nil {
		u.caller.passes(nil)
	} else {
		u.caller.passes(u)
	}
}

// interrupt asks the upload to stop between two steps and to be passed on.
func (u *upload) interrupt() {
	u.ask(func(now time.Time) {
		if u.to == nil {
			u.asked = false // it does not go out yet, or any more
			return
		}
		u.to.SetWriteDeadline(now)
		u.caller.asked.Store(true)
		u.caller.Conn.SetReadDeadline(now)
	})
}

// passOn passes the upload on; if that fails it goes on here. Once its last byte has been read it stays: its caller
// is watched then by who awaits the answer, and its answer can be passed on.
func (u *upload) passOn(a *attempt, c *conn) bool {
	if u.give(a, c) {
		return true
	}
	u.over(func() { u.caller.asked.Store(false) })
	return false
}

func (u *upload) give(a *attempt, c *conn) bool {
	u.own.Lock()
	defer u.own.Unlock()
	if u.whole || u.settled || u.gift == nil || a.quietly(c, func() error { return u.gift(a, c) }) != nil {
		return false
	}
	u.gone = true
	close(u.passed)
	return true
}

// settle is called before the caller is answered. It tells whether its connection has become the successor's, and
// keeps it from that if not.
func (u *upload) settle() (gone bool) {
	u.own.Lock()
	defer u.own.Unlock()
	u.settled = true
	return u.gone
}
