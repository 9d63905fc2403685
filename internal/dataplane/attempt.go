package dataplane

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/http1"
	"dykering/internal/routing"
)

const (
	connectWithin = 1 * time.Second
	// silentFor is how long an endpoint may be silent before a client that gives up does so because of it.
	silentFor = 1500 * time.Millisecond
	// keepShare is the part of an endpoint's own idle time for which a connection to it is kept.
	keepShare = 0.6
	// wholeBody is the longest answer that is held until it is whole, so that one that breaks off fails as a whole.
	wholeBody = 256 << 10
)

// outcome is how one sending ended.
type outcome struct {
	answered   bool // the client has its answer
	mayHaveRun bool
	result     routing.CallResult
	kind       errkind.Kind
	detail     string
	load       *routing.ReportedLoad
	answering  bool // the head of an answer came
}

// attempt sends the request to an endpoint once, and passes the answer on.
func (c *carrying) attempt(endpoint *routing.Endpoint) outcome {
	p, q := c.process, c.request
	dialledAt := time.Now()
	conn, fresh, err := p.connect(c.ctx, endpoint)
	c.account.spend(phaseDial, dialledAt)
	if err != nil {
		if c.ctx.Err() != nil {
			return outcome{result: routing.Canceled, kind: errkind.DeadlineExceeded}
		}
		return outcome{result: routing.Unreachable, kind: errkind.NoEndpoint, detail: "no connection"}
	}
	release := context.AfterFunc(c.ctx, func() { conn.Close() })
	defer release()
	c.sent++
	whole, err := conn.Write(c.head(endpoint), q.body, q.deadline)
	if !whole {
		conn.Close()
		if c.ctx.Err() != nil {
			return outcome{result: routing.Canceled, kind: errkind.DeadlineExceeded}
		}
		result := routing.ConnectionLost
		if !fresh {
			result = routing.Canceled // an idle connection that its endpoint has just closed
		}
		return outcome{result: result, kind: errkind.EndpointFailed, detail: errText(err)}
	}
	sentAt := time.Now()
	answer, err := conn.ReadResponse(headerRequestID, q.id)
	if err != nil {
		c.account.spend(phaseEarlier, sentAt)
		conn.Close()
		out := c.broken(err)
		if out.result == routing.Canceled && time.Since(sentAt) >= silentFor {
			out.result = routing.TimedOut // its client gave it up for the endpoint's silence
		}
		return out
	}
	p.post(func() { p.pool.ResponseStarted(endpoint) })
	headAt := time.Now()
	out := c.pass(conn, answer)
	c.account.spent[phaseOfAnswer(out)] += headAt.Sub(sentAt)
	out.answering = true
	if answer.Reusable() && release() {
		p.connections.give(endpoint.ID, conn, keepFor(answer.Header))
	} else {
		conn.Close()
	}
	return out
}

// phaseOfAnswer is what the time until an answer's head counts for.
func phaseOfAnswer(out outcome) phase {
	if out.answered {
		return phaseFirst
	}
	return phaseEarlier
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// broken is the outcome of a request that was written and whose answer did not come.
func (c *carrying) broken(err error) outcome {
	if c.ctx.Err() != nil {
		result := routing.TimedOut
		if errors.Is(c.ctx.Err(), context.Canceled) {
			result = routing.Canceled
		}
		return outcome{mayHaveRun: true, result: result, kind: errkind.EndpointTimeout}
	}
	return outcome{mayHaveRun: true, result: routing.ConnectionLost, kind: errkind.EndpointFailed, detail: errText(err)}
}

// connect takes an idle connection to an endpoint, or makes one.
func (p *Process) connect(ctx context.Context, endpoint *routing.Endpoint) (conn *http1.EndpointConn, fresh bool, err error) {
	if conn = p.connections.take(endpoint.ID); conn != nil {
		return conn, false, nil
	}
	conn, err = http1.DialEndpoint(ctx, p.connections.endpoint(endpoint.ID, endpoint.Address), connectWithin)
	return conn, true, err
}

// head is the head of the request as it goes to an endpoint.
func (c *carrying) head(endpoint *routing.Endpoint) []byte {
	q := c.request
	header := q.header.Clone()
	http1.RemoveHopByHop(header)
	header.Set(headerExpected, endpoint.ID)
	if c.begun {
		header.Set(headerLastEvent, c.lastEvent)
		if c.version != "" {
			header.Set(headerExpectVersion, c.version)
		}
	}
	header.Set(headerDeadline, strconv.FormatInt(max(q.left().Milliseconds(), 1), 10))
	if q.engine != nil {
		header.Set(headerPriority, strconv.Itoa(q.priority()))
	}
	return http1.RequestHead(q.method, q.target, q.host, header, len(q.body))
}

// priority is a request's rank at an endpoint. A short prompt goes before long ones: it delays them by little, and waits long
// behind them. A large one goes before middling ones: its reading leaves it no time to wait. Beside it counts the rank of its
// route.
func (r *request) priority() int {
	const lastShort, lastLarge, last = 2, 5, 9
	switch r.size {
	case shortPrompt:
		return min(priorityOf(r.route), lastShort)
	case largePrompt:
		return min(lastShort+1+priorityOf(r.route), lastLarge)
	}
	return min(lastLarge+1+priorityOf(r.route), last)
}

// priorityOf is the rank of a route's requests.
func priorityOf(route *fleetconfig.Route) int {
	const least = 9
	return int(math.Min(math.Max(route.Priority, 0), least))
}

// pass passes an endpoint's answer on, or says why not.
func (c *carrying) pass(conn *http1.EndpointConn, answer *http1.EndpointResponse) outcome {
	load := parseLoad(answer.Header.Get(headerLoad))
	if answer.Header.Get(headerNotRun) != "" || answer.Status == http.StatusMisdirectedRequest {
		io.Copy(io.Discard, io.LimitReader(answer, wholeBody))
		out := outcome{result: routing.RejectedFull, kind: errkind.Overloaded, detail: "turned away", load: load}
		if answer.Status == http.StatusMisdirectedRequest {
			out.result, out.kind = routing.RejectedNotFound, errkind.NoEndpoint
		}
		return out
	}
	stamped := answer.Header.Get(headerStamp) != ""
	success := answer.Status >= 200 && answer.Status < 300
	if !stamped && success || promises(answer.Status) {
		return outcome{mayHaveRun: true, result: routing.Failed, kind: errkind.EndpointFailed, detail: "an answer of no use", load: load}
	}
	out := c.passAnswer(answer, success)
	out.load = load
	if out.result == routing.Succeeded && answer.Status >= http.StatusInternalServerError {
		out.result = routing.Failed
	}
	return out
}

// passAnswer passes an answer on in the way of its route.
func (c *carrying) passAnswer(answer *http1.EndpointResponse, success bool) outcome {
	switch {
	case c.begun && !success:
		return outcome{mayHaveRun: true, result: routing.Succeeded, kind: errkind.EndpointFailed, detail: "the stream cannot go on"}
	case !success || c.request.route.Kind != fleetconfig.Streaming:
		return c.passWhole(answer)
	case c.request.route.Repeatable():
		return c.relayEvents(answer)
	}
	return c.relay(answer)
}

// promises tells whether a status says that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// passWhole reads an answer to its end before any of it is passed on, where it is short enough.
func (c *carrying) passWhole(answer *http1.EndpointResponse) outcome {
	if answer.Length > wholeBody {
		return c.relay(answer)
	}
	body, err := io.ReadAll(io.LimitReader(answer, wholeBody))
	if err != nil {
		return c.broken(err)
	}
	if answer.Finished() {
		c.writeHead(answer, int64(len(body)))
		c.writer.Write(body)
		return outcome{answered: true, result: routing.Succeeded}
	}
	c.writeHead(answer, answer.Length)
	c.writer.Write(body)
	return c.copyRest(answer)
}

// writeHead passes the head of an answer on. A length below 0 is unknown.
func (c *carrying) writeHead(answer *http1.EndpointResponse, length int64) {
	header := c.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	http1.RemoveHopByHop(header)
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if c.process.stopping() {
		header.Set("Connection", "close")
	}
	c.writer.WriteHeader(answer.Status)
	c.begun = true
	c.account.piece(time.Now())
	p, key := c.process, c.request.key()
	p.post(func() { p.demand.begun(key) })
}

// keepFor is how long an idle connection may be kept.
func keepFor(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(keepShare * float64(seconds) * float64(time.Second))
		}
	}
	return idleFor
}

func parseLoad(text string) *routing.ReportedLoad {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return nil
	}
	var numbers [3]int
	for i, field := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil {
			return nil
		}
		numbers[i] = n
	}
	return &routing.ReportedLoad{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}

// finish tells the owner how a sending ended.
func (p *Process) finish(endpoint *routing.Endpoint, q routing.Query, out outcome) {
	p.post(func() {
		now := p.now()
		p.pool.EndCall(now, endpoint, q, out.result, out.answering)
		if out.load != nil {
			p.pool.ReportLoad(now, endpoint, *out.load)
		}
	})
}
