package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
)

const (
	// maxBufferedBody bounds a body that is buffered in memory, in bytes.
	maxBufferedBody = 64 << 10
	// maxStreamedBody bounds a body that is streamed, in bytes.
	maxStreamedBody = 32 << 20
	// maxResponseHead bounds the head of a response, and the trailer and chunk extensions of a body,
	// in bytes.
	maxResponseHead = 16 << 10
	// streamPrefix is how many bytes of a streamed response are buffered until its relay begins.
	streamPrefix = 4 << 10
	// bufferTimeout is how long a response of unknown length may take before it is streamed instead of
	// buffered.
	bufferTimeout = 250 * time.Millisecond
	// discardTimeout bounds the time to discard a body that is not needed.
	discardTimeout = 20 * time.Millisecond
	// streamStallTimeout bounds each write of an upload to an endpoint, and each read of a streamed
	// response.
	streamStallTimeout = 10 * time.Second
	// maxInformational bounds the interim responses (1xx) before the final one.
	maxInformational = 16
	// resetSpread is the time within which the resets of all connections of a crashed endpoint are
	// received.
	resetSpread = 3 * time.Millisecond
)

// upstream sends the core's attempts over HTTP/1.1.
type upstream struct {
	network        Network
	memory         *core.Memory
	connectTimeout time.Duration
	// The number of attempts that have entered each phase so far.
	phaseEntries [core.AttemptPhaseCount]atomic.Uint64
}

// Send implements core.Upstream. It makes an attempt, over an idle connection if one is given.
func (u *upstream) Send(a *core.Attempt, idle core.Conn) core.Result {
	c, _ := idle.(*upstreamConn)
	t := newAttempt(a, u.network)
	t.phaseEntries = &u.phaseEntries
	t.enterPhase(core.PhaseConnecting)
	res := t.run(c, u.connectTimeout, u.memory)
	outcome := core.Result{Status: res.status, Elapsed: res.elapsed, Load: res.load, NotReplayable: res.consumed}
	if res.conn != nil {
		outcome.Conn = res.conn
	}
	if res.response != nil && res.response.rest == nil {
		outcome.Response = res.response
	}
	return outcome
}

// attempt sends a request to an endpoint once and reads the response.
type attempt struct {
	*core.Attempt
	network Network
	request *forwardedRequest
	// The bound of the response body, in bytes.
	maxBody int64
	// Closed when the last byte of a streamed request is written.
	fullySent chan struct{}
	// Waits for the response while a streamed request is being sent.
	watcher *responseWatcher
	// The counters of upstream; nil for an attempt that is not counted.
	phaseEntries *[core.AttemptPhaseCount]atomic.Uint64
}

// enterPhase records the progress of the attempt.
func (a *attempt) enterPhase(p core.AttemptPhase) {
	a.SetPhase(p)
	if a.phaseEntries != nil {
		a.phaseEntries[p].Add(1)
	}
}

// newAttempt returns an attempt for a call whose message is a forwarded request.
func newAttempt(a *core.Attempt, n Network) *attempt {
	return &attempt{
		Attempt:   a,
		network:   n,
		request:   a.Call.Message.(*forwardedRequest),
		maxBody:   maxStreamedBody,
		fullySent: make(chan struct{}),
		watcher:   newResponseWatcher(),
	}
}

// result is the outcome of an attempt.
type result struct {
	status   decision.Status
	elapsed  time.Duration
	response *response
	load     *decision.Load
	// The connection, if it can carry another attempt; else nil.
	conn *upstreamConn
	// Part of a streamed body has been read and not kept: the request cannot be sent again.
	consumed bool
}

// run makes the attempt: it writes the request once, on one connection, and reads the response.
// http.Transport is not used, because it retries requests on its own and does not report whether the
// last byte was written. When run returns, the connection is closed or idle, so a retry never runs at
// the same time as this attempt.
func (a *attempt) run(c *upstreamConn, connectTimeout time.Duration, memory *core.Memory) (res result) {
	defer func() {
		if res.elapsed == 0 {
			res.elapsed = a.Elapsed()
		}
	}()
	if c != nil {
		time.Sleep(time.Until(c.IdleSince.Add(a.Endpoint.ReuseDelay())))
		if !c.Alive() {
			c.Close()
			c = nil
		}
	}
	if a.request.clientGone() {
		return result{status: decision.NotSent, conn: c}
	}
	if c == nil {
		var err error
		if c, err = a.dial(a.beforeDeadline(connectTimeout)); err != nil {
			return result{status: a.unsentStatus()}
		}
	}
	res = a.exchangeOver(c, memory)
	if res.status == decision.Reset {
		a.classifyReset(&res, connectTimeout)
	}
	return res
}

// dial connects to the endpoint.
func (a *attempt) dial(timeout time.Duration) (*upstreamConn, error) {
	raw, err := dialTwice(a.Ctx, a.network, a.Endpoint.Address, timeout)
	if err != nil {
		return nil, err
	}
	return newUpstreamConn(raw, a.Endpoint), nil
}

// classifyReset distinguishes a single broken connection from a crashed endpoint, which resets all its
// connections and accepts no new ones. Without this check, one broken connection would eject a healthy
// endpoint and then put it through slow start. If only the connection broke, the status becomes
// InvalidResponse, and a connection dialed for the check replaces the broken one.
func (a *attempt) classifyReset(res *result, connectTimeout time.Duration) {
	time.Sleep(resetSpread)
	if a.Endpoint.AwaitingResponse.Load() > 0 {
		res.status = decision.InvalidResponse
		return
	}
	if c, err := a.dial(connectTimeout); err == nil {
		res.status, res.conn = decision.InvalidResponse, c
	}
}

// exchangeOver makes the attempt over a connection. It closes the connection if the attempt is
// cancelled or the connection cannot be reused.
func (a *attempt) exchangeOver(c *upstreamConn, memory *core.Memory) result {
	stopClosing := context.AfterFunc(a.Ctx, func() {
		c.Close()
		if a.request.upload != nil {
			a.request.upload.client.abandonBody()
		}
	})
	res := a.exchange(c, memory)
	if !stopClosing() || res.conn == nil {
		c.Close()
		res.conn = nil
	}
	return res
}

// unsentStatus returns the status of an attempt whose last byte was certainly not written.
func (a *attempt) unsentStatus() decision.Status {
	if a.Ctx.Err() != nil || a.isLate() {
		return decision.NotSent
	}
	return decision.ConnectFailed
}

// isLate reports whether the deadline for the request's last byte has passed.
func (a *attempt) isLate() bool { return !a.SendBy.IsZero() && !time.Now().Before(a.SendBy) }

// beforeDeadline limits a timeout to the time left until the deadline for the request's last byte.
func (a *attempt) beforeDeadline(d time.Duration) time.Duration {
	if a.SendBy.IsZero() {
		return d
	}
	// net.Dialer treats 0 as no timeout.
	return min(d, max(time.Until(a.SendBy), time.Nanosecond))
}

// exchange sends the request and reads the response.
func (a *attempt) exchange(c *upstreamConn, memory *core.Memory) result {
	// While the connection was dialed, the endpoint may have begun to drain, the window in which the
	// endpoint recognizes a retry may have passed, or the client may have hung up.
	if !a.Endpoint.IsOpen() || a.Ctx.Err() != nil || a.isLate() || a.request.clientGone() {
		return result{status: decision.NotSent}
	}
	c.SetWriteDeadline(a.SendBy)
	if a.request.upload != nil {
		return a.exchangeStreaming(c, memory)
	}
	a.enterPhase(core.PhaseSending)
	head := a.request.encodeHead(a.AnswerWithin - a.Elapsed())
	pieces := net.Buffers{head}
	if len(a.request.body) > 0 {
		pieces = append(pieces, a.request.body)
	}
	if n, err := pieces.WriteTo(c.Conn); err != nil && n < int64(len(head)+len(a.request.body)) {
		return result{status: a.unsentStatus()}
	}
	return a.awaitResponse(c, memory)
}

// awaitResponse reads the response to a request that has been written.
func (a *attempt) awaitResponse(c *upstreamConn, memory *core.Memory) result {
	a.enterPhase(core.PhaseAwaiting)
	a.Endpoint.AwaitingResponse.Add(1)
	res, err := a.readResponse(c, memory)
	a.Endpoint.AwaitingResponse.Add(-1)
	if err != nil {
		res.status = a.failureStatus(err)
	}
	return res
}

// failureStatus returns the status of an attempt whose request was written and whose response was not
// received completely.
func (a *attempt) failureStatus(err error) decision.Status {
	switch cause := context.Cause(a.Ctx); {
	case errors.Is(err, errClientGone):
		return decision.Cancelled
	case errors.Is(err, errTransferred):
		return decision.OK // the successor relays the rest, and has both connections
	case errors.Is(cause, context.DeadlineExceeded):
		return decision.Timeout
	case cause != nil:
		return decision.Cancelled
	case errors.As(err, new(*net.OpError)), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, io.ErrClosedPipe):
		return decision.Reset
	}
	// The endpoint is healthy and has executed the request, but its response cannot be used.
	return decision.InvalidResponse
}
