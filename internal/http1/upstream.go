package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
)

const (
	maxBufferedBody = 64 << 10 // of a body that is held whole
	maxStreamedBody = 32 << 20 // of one that is passed on as it comes
	maxResponseHead = 16 << 10
	// streamPrefix is what is held of an answer that is passed on as it comes, until that begins.
	streamPrefix = 4 << 10
	// bufferTimeout is how long an answer of unknown length may take to come before it is passed on as it does.
	bufferTimeout = 250 * time.Millisecond
	// discardTimeout is how long a body that nobody wants may take.
	discardTimeout = 20 * time.Millisecond
	// streamStallTimeout is how long an endpoint may take no more of a body, or give no more of an answer.
	streamStallTimeout = 10 * time.Second
	maxInformational   = 16 // 1xx responses before the final one
	// resetSpread is how long a process that dies may take to reset all its connections.
	resetSpread = 3 * time.Millisecond
)

// upstream carries attempts out over HTTP/1.1.
type upstream struct {
	network        Network
	memory         *core.Memory
	connectTimeout time.Duration
	phaseEntries   [core.AttemptPhases]atomic.Uint64 // how many attempts have come so far
}

// Send makes an attempt.
func (u *upstream) Send(a *core.Attempt, over core.Conn) core.Result {
	c, _ := over.(*upstreamConn)
	t := newAttempt(a, u.network)
	t.phaseEntries = &u.phaseEntries
	t.enterPhase(core.Connecting)
	res := t.run(c, u.connectTimeout, u.memory)
	told := core.Result{Status: res.status, Took: res.took, Load: res.load, Spent: res.consumed}
	if res.conn != nil {
		told.Conn = res.conn
	}
	if res.response != nil && res.response.rest == nil {
		told.Response = res.response
	}
	return told
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	*core.Attempt
	network      Network
	request      *forwardedRequest
	maxBody      int64                              // that an answer may be
	fullySent    chan struct{}                      // closed when the last byte of a long body is out
	watcher      *answerWatcher                     // see ear
	phaseEntries *[core.AttemptPhases]atomic.Uint64 // nil for nobody who counts
}

// enterPhase notes how far the attempt has come.
func (a *attempt) enterPhase(p core.AttemptPhase) {
	a.At(p)
	if a.phaseEntries != nil {
		a.phaseEntries[p].Add(1)
	}
}

func newAttempt(a *core.Attempt, n Network) *attempt {
	return &attempt{Attempt: a, network: n, request: a.Call.Message.(*forwardedRequest), maxBody: maxStreamedBody, fullySent: make(chan struct{}), watcher: newAnswerWatcher()}
}

// result is how an attempt ended. Its connection is nil unless it can carry another attempt.
type result struct {
	status   decision.Status
	took     time.Duration
	response *response
	load     *decision.Load
	conn     *upstreamConn
	consumed bool // what was sent can't be sent again
}

// run makes the attempt: one write on one connection, and the answer to it. net/http's Transport would send
// a request again by itself and does not tell whether its last byte was written, so it is not used here.
// When run returns, the connection is either closed or free, so the Balancer may send again.
func (a *attempt) run(c *upstreamConn, connectTimeout time.Duration, memory *core.Memory) (res result) {
	defer func() {
		if res.took == 0 {
			res.took = a.Elapsed()
		}
	}()
	if c != nil {
		time.Sleep(time.Until(c.Since.Add(a.Endpoint.Settle())))
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

// dial makes a connection. One that fails at once is tried once more: endpoints reset new connections now and
// then, and a dead one does it twice.
func (a *attempt) dial(timeout time.Duration) (*upstreamConn, error) {
	raw, err := a.network.Dial(a.Ctx, a.Endpoint.Address, timeout)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		raw, err = a.network.Dial(a.Ctx, a.Endpoint.Address, timeout)
	}
	if err != nil {
		return nil, err
	}
	return newUpstreamConn(raw, a.Endpoint), nil
}

// classifyReset tells a connection that alone broke from an endpoint that did: one that ends takes all its
// connections along and accepts no new ones. Taken for that, one connection would cost a sound endpoint its
// place, and then a slow start. The new connection takes the broken one's place.
func (a *attempt) classifyReset(res *result, connectTimeout time.Duration) {
	time.Sleep(resetSpread)
	if a.Endpoint.Waiting.Load() > 0 {
		res.status = decision.InvalidResponse
		return
	}
	if c, err := a.dial(connectTimeout); err == nil {
		res.status, res.conn = decision.InvalidResponse, c
	}
}

// exchangeOver makes the attempt over a connection.
func (a *attempt) exchangeOver(c *upstreamConn, memory *core.Memory) result {
	release := context.AfterFunc(a.Ctx, func() {
		c.Close()
		if a.request.upload != nil {
			a.request.upload.client.abandonBody()
		}
	})
	res := a.exchange(c, memory)
	if !release() || res.conn == nil {
		c.Close()
		res.conn = nil
	}
	return res
}

// unsentStatus is the status of an attempt whose last byte was certainly not written.
func (a *attempt) unsentStatus() decision.Status {
	if a.Ctx.Err() != nil || a.isLate() {
		return decision.NotSent
	}
	return decision.ConnectFailed
}

// isLate tells whether the time has passed by which the request's last byte had to be out.
func (a *attempt) isLate() bool { return !a.OutBy.IsZero() && !time.Now().Before(a.OutBy) }

// beforeDeadline is what of a time may be used before that.
func (a *attempt) beforeDeadline(d time.Duration) time.Duration {
	if a.OutBy.IsZero() {
		return d
	}
	return min(d, max(time.Until(a.OutBy), time.Nanosecond)) // a dialer takes 0 for no bound
}

func (a *attempt) exchange(c *upstreamConn, memory *core.Memory) result {
	// The dial may have outlasted the endpoint's welcome, the window in which a repeat is dropped, or the caller's patience.
	if !a.Endpoint.Open() || a.Ctx.Err() != nil || a.isLate() || a.request.clientGone() {
		return result{status: decision.NotSent}
	}
	c.SetWriteDeadline(a.OutBy)
	if a.request.upload != nil {
		return a.exchangeStreaming(c, memory)
	}
	a.enterPhase(core.Writing)
	text := a.request.encodeHead(a.Left - a.Elapsed())
	pieces := net.Buffers{text}
	if len(a.request.body) > 0 {
		pieces = append(pieces, a.request.body)
	}
	if n, err := pieces.WriteTo(c.Conn); err != nil && n < int64(len(text)+len(a.request.body)) {
		return result{status: a.unsentStatus()}
	}
	return a.awaitResponse(c, memory)
}

// awaitResponse takes the answer to a request that is written.
func (a *attempt) awaitResponse(c *upstreamConn, memory *core.Memory) result {
	a.enterPhase(core.Awaiting)
	a.Endpoint.Waiting.Add(1)
	res, err := a.readResponse(c, memory)
	a.Endpoint.Waiting.Add(-1)
	if err != nil {
		res.status = a.failureStatus(err)
	}
	return res
}

// failureStatus is the status of an attempt that was written and whose answer did not come whole.
func (a *attempt) failureStatus(err error) decision.Status {
	switch cause := context.Cause(a.Ctx); {
	case errors.Is(err, errClientGone):
		return decision.Cancelled
	case errors.Is(err, errTransferred):
		return decision.OK // the successor has the rest of the answer, and both connections
	case errors.Is(cause, context.DeadlineExceeded):
		return decision.Timeout
	case cause != nil:
		return decision.Cancelled
	case errors.As(err, new(*net.OpError)), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, io.ErrClosedPipe):
		return decision.Reset
	}
	// The endpoint has run it and is well, but what it says cannot be used.
	return decision.InvalidResponse
}
