package requestsoak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
)

const (
	requestIDHeader   = "X-Request-Id"
	deadlineHeader    = "X-Deadline-Ms"
	signatureHeader   = "X-Response-Signature"
	notExecutedHeader = "X-Not-Executed"
	instanceHeader    = "X-Expected-Instance"
	lastEventHeader   = "Last-Event-Id"
)

// endpointConn is a connection from a proxy to a fake endpoint.
type endpointConn struct {
	*endpoint
	conn     *net.TCPConn
	requests chan *http.Request // closed when the proxy has closed the connection
	gone     chan struct{}      // closed with requests
	repeats  sync.WaitGroup
	// The body of a request that the endpoint acts on is not read completely.
	bodyUnread atomic.Bool

	writing     sync.Mutex // held while a response is being written
	nextSurplus []surplus  // sent while the next request runs
	wroteLast   bool       // nothing may be written any more
}

func newEndpointConn(e *endpoint, conn *net.TCPConn) *endpointConn {
	return &endpointConn{endpoint: e, conn: conn, requests: make(chan *http.Request), gone: make(chan struct{})}
}

// serve serves one request at a time until either side closes the connection.
func (c *endpointConn) serve() {
	c.repeats.Go(c.readRequests)
	for {
		idle := time.NewTimer(c.dice.duration(minEndpointIdle, maxEndpointIdle))
		select {
		case r, ok := <-c.requests:
			if ok && c.handle(r) {
				continue
			}
		case <-idle.C:
		case <-c.ended:
		}
		break
	}
	c.conn.Close()
	for range c.requests { // lets readRequests end
		continue
	}
	c.repeats.Wait()
}

// readRequests reads requests until the connection ends.
func (c *endpointConn) readRequests() {
	defer close(c.gone)
	defer close(c.requests)
	reader := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !c.receive(r) {
			return
		}
	}
}

// receive reads the body of a request and passes the request on. In a share of the cases it rejects the request, or passes it on,
// before it reads the body. It returns false if the body was not received completely.
func (c *endpointConn) receive(r *http.Request) bool {
	switch {
	case c.isFull() && c.dice.happens(earlyRejectionProbability):
		c.reject(r, http.StatusServiceUnavailable, "rejects the request before its body")
		return c.readBody(r)
	case c.runsEarly(r):
		c.recordEvent(r, "acts on the request before its body")
		c.bodyUnread.Store(true)
		c.requests <- r
		return c.delayReading(r) && c.readBody(r)
	}
	if !c.readBody(r) {
		return false
	}
	c.requests <- r
	return true
}

// isLong reports whether a request has more bytes than the buffers of a connection may hold. The proxies send all bodies with a length.
func isLong(r *http.Request) bool { return r.ContentLength > longBodyLength }

// runsEarly draws whether the endpoint acts on a request before it reads the body.
func (c *endpointConn) runsEarly(r *http.Request) bool {
	return c.dice.happens(lo.Ternary(isLong(r), earlyLongRunProbability, earlyRunProbability))
}

// delayReading waits before a long body is read, or resets the connection, in a share of the cases. It returns false if the body
// cannot be read any more.
func (c *endpointConn) delayReading(r *http.Request) bool {
	if !isLong(r) || !c.dice.happens(lateReadProbability) {
		return true
	}
	if !c.work(c.dice.duration(0, maxLateRead)) {
		return false
	}
	if c.dice.happens(earlyResetProbability) {
		c.recordEvent(r, "resets the connection before it reads the body")
		c.reset(c.conn)
		return false
	}
	return true
}

// readBody reads a body. It returns false if the body was not received completely.
func (c *endpointConn) readBody(r *http.Request) bool {
	if c.dice.happens(bodyStallProbability) {
		time.Sleep(c.dice.duration(0, maxBodyStall))
	}
	if c.dice.happens(bodyResetProbability) {
		received, _ := io.CopyN(io.Discard, r.Body, int64(c.dice.number(int(r.ContentLength)+1)))
		c.recordEvent(r, fmt.Sprintf("resets the connection after %d bytes of the body", received))
		c.reset(c.conn)
		return false
	}
	var checker bodyChecker
	received, err := io.Copy(&checker, r.Body)
	c.bodyUnread.Store(err != nil)
	if checker.foreign > 0 {
		c.recordEvent(r, fmt.Sprintf("%s: %d of %d", foreignBytes, checker.foreign, received))
	}
	if err != nil {
		c.recordEvent(r, fmt.Sprintf("has %d bytes of the body: %v", received, err))
	}
	return err == nil
}

// foreignBytes begins the event of an endpoint that has received bytes in a body that its client has not sent.
const foreignBytes = "has foreign bytes in the body"

// bodyChecker counts the bytes of a body that no client sends.
type bodyChecker struct{ foreign int }

// Write implements io.Writer.
func (c *bodyChecker) Write(p []byte) (int, error) {
	c.foreign += len(p) - bytes.Count(p, []byte{bodyByte})
	return len(p), nil
}

// isFull reports whether the endpoint rejects requests for lack of capacity.
func (e *endpoint) isFull() bool {
	return len(e.slots) == cap(e.slots) && e.queued.Load() >= endpointQueue
}

// recordEvent records an event of a request.
func (c *endpointConn) recordEvent(r *http.Request, what string) {
	c.recorder.addEvent(EndpointEvent{
		Request: r.Header.Get(requestIDHeader), Endpoint: c.id, Connection: c.conn.RemoteAddr().String(), What: what,
	})
}

// handle rejects or runs a request. It returns false if the connection must be closed.
func (c *endpointConn) handle(r *http.Request) bool {
	if expected := r.Header.Get(instanceHeader); expected != "" && expected != c.id {
		return c.reject(r, http.StatusMisdirectedRequest, "is not the expected instance "+expected)
	}
	deadline := time.Now().Add(deadlineOf(r))
	acquired, keep := c.awaitSlot(r, deadline)
	if !acquired {
		return keep
	}
	defer func() { <-c.slots }()
	c.running.Add(1)
	defer c.running.Add(-1)
	return c.run(r, deadline)
}

// deadlineOf returns the time that a request has left.
func deadlineOf(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(deadlineHeader))
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

// awaitSlot waits in the queue for a slot. If there is none, keep is false if the connection must be closed.
func (c *endpointConn) awaitSlot(r *http.Request, deadline time.Time) (acquired, keep bool) {
	select {
	case c.slots <- struct{}{}:
		return true, true
	default:
	}
	if c.queued.Add(1) > endpointQueue {
		c.queued.Add(-1)
		return false, c.reject(r, http.StatusServiceUnavailable, "is full")
	}
	defer c.queued.Add(-1)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case c.slots <- struct{}{}:
		return true, true
	case <-timer.C:
		return false, c.reject(r, http.StatusServiceUnavailable, "has had the request in its queue until the deadline")
	case <-c.gone:
		c.recordEvent(r, "drops the request from its queue, since the connection is closed")
	case <-c.ended:
	}
	return false, false
}

// reject promises that the request has not run. It returns false if the connection must be closed.
func (c *endpointConn) reject(r *http.Request, status int, why string) bool {
	c.recordEvent(r, fmt.Sprintf("%s: %d", why, status))
	header := []string{requestIDHeader + ": " + r.Header.Get(requestIDHeader), notExecutedHeader + ": 1"}
	if c.dice.happens(0.5) {
		header[0], header[1] = header[1], header[0]
	}
	return c.respond(r, message{status: status, header: header, body: "rejected"})
}

// run runs a request and responds to it. It returns false if the connection must be closed.
func (c *endpointConn) run(r *http.Request, deadline time.Time) (keep bool) {
	run := &Run{
		Request: r.Header.Get(requestIDHeader), Endpoint: c.id, Began: c.recorder.now(),
		Connection: c.conn.RemoteAddr().String(), Signature: fmt.Sprintf("%s.%d", c.id, c.runCount.Add(1)),
	}
	c.recorder.addRun(run)
	defer func() {
		run.Ended = c.recorder.now()
		// A connection that is closed before all input is read is reset by the kernel, whatever was written.
		run.BrokenOff = run.BrokenOff || !run.Complete && c.hasReset(c.conn) || !keep && c.bodyUnread.Load()
	}()
	work, left := c.dice.exponential(meanWork, maxWork), time.Until(deadline)
	for _, again := range c.takeNextSurplus() {
		c.sendSurplus(again)
	}
	if !c.work(min(work, left)) {
		return false
	}
	if work >= left {
		return c.finish(r, run, http.StatusGatewayTimeout, answers)
	}
	if strings.HasPrefix(r.URL.Path, streamPath) || strings.HasPrefix(r.URL.Path, resumePath) {
		return c.stream(r, run)
	}
	outcome := c.dice.outcome()
	if outcome == failsItself {
		return c.finish(r, run, http.StatusInternalServerError, answers)
	}
	return c.finish(r, run, http.StatusOK, outcome)
}

// work waits for a time. It returns false if the connection or the endpoint ends meanwhile.
func (c *endpointConn) work(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.gone:
	case <-c.ended:
	}
	return false
}

// body returns the body of a run's response, which no other run has.
func (c *endpointConn) body(run *Run) string {
	length := c.dice.number(maxBodyLength)
	if c.dice.happens(longBodyProbability) {
		length = c.dice.number(longBodyLength)
	}
	text := run.Request + " " + run.Signature + " "
	return text + strings.Repeat("x", length)
}

// signed returns a response of a run.
func (c *endpointConn) signed(run *Run, status int, body string) message {
	return message{status: status, body: body, header: []string{
		requestIDHeader + ": " + run.Request, signatureHeader + ": " + run.Signature, "X-Instance-Load: " + c.load(),
	}}
}

// finish ends a run with an outcome. It returns false if the connection must be closed.
func (c *endpointConn) finish(r *http.Request, run *Run, status int, outcome runOutcome) bool {
	run.Status, run.Body = status, c.body(run)
	m := c.signed(run, status, run.Body)
	switch outcome {
	case resets:
		run.BrokenOff = true
		c.conn.SetLinger(0)
		return false
	case closesSilently:
		run.BrokenOff = true
		return false
	case sendsGarbage:
		run.BrokenOff = true
		c.write([]byte("\x00\x01 what is this\r\n\r\n"))
		return false
	case cutsOff:
		run.BrokenOff = true
		text := m.encode()
		c.write(text[:c.dice.number(len(text))])
		return false
	case answersUnframed:
		m.unframed = true
	case answers, failsItself:
	}
	// The response counts as whole before it is written, since the client may have it before the write returns.
	run.Complete = true
	return c.respond(r, m)
}
