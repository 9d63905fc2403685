package real

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/model"
	"dykering/internal/lab/rules"
)

// pendingRequest is a request on its way through an instance.
type pendingRequest struct {
	*model.Request
	completed bool
	// The process that had accepted the request was killed.
	processKilled atomic.Bool
	// When the client departed; 0 if it did not depart before the answer.
	departedAt time.Duration
	// The number of attempts that have arrived at servers.
	attemptCount int
	lastAttempt  *attempt
	// Attempts that the checker has not been told of yet.
	unreported []*attempt
	// A later call of reportAttempts is scheduled.
	reportScheduled bool
	cancel          context.CancelFunc
}

// retentionAfterAnswer is how long a request is kept after its answer. An attempt may still be on its
// way to a server.
const retentionAfterAnswer = 2 * time.Second

// Accept sends a request to its instance.
func (run *scenarioRun) Accept(m *model.Request) {
	i := run.instanceOf(m.Instance)
	if m.Deadline <= run.Now() {
		return // the requester has given the request up
	}
	if i.process == nil {
		m.Requester.Complete(m, model.Unreachable, 0)
		return
	}
	c := run.world.Scenario.Classes[m.Class]
	run.world.Checker.RequestAccepted(run.Now(), rules.Request{
		ID: string(m.ID), Origin: m.Origin, Instance: m.Instance.Index, Deadline: m.Deadline,
		Effect: c.Effect, Scope: c.Scope, Window: time.Duration(c.Window),
	})
	ctx, cancel := context.WithDeadline(run.ctx, run.at(m.Deadline+model.Grace+run.lateness))
	request := &pendingRequest{Request: m, cancel: cancel}
	run.requests[m.ID] = request
	team := ""
	if len(run.world.Scenario.Teams) > 0 {
		team = run.world.Scenario.Teams[m.Team].Name
	}
	out := outgoingRequest{
		url: i.url, id: string(m.ID), class: c.Name, effect: c.Effect, team: team, key: m.Origin, isRetry: m.IsRetry,
		deadline: run.at(m.Deadline),
	}
	run.misbehave(request, &out, i)
	run.goroutines.Go(func() {
		defer cancel()
		response := out.send(ctx, i.client, &request.processKilled)
		run.post(func() { run.completeRequest(request, response) })
	})
}

const (
	// maxDepartureDelay is the longest time after which a client of the kind "gone" closes its connection.
	maxDepartureDelay = 60 * time.Millisecond
	// bodyChunks is the number of chunks of a body that is sent slowly, chunkInterval the time between
	// them, and chunkSize their largest size in bytes.
	bodyChunks    = 8
	chunkInterval = 5 * time.Millisecond
	chunkSize     = 4 << 10
	// malformedTimeout is the time within which the broker has to close the connection of a malformed
	// request.
	malformedTimeout = 4 * time.Second
)

// misbehave makes clients misbehave on the share of requests that the active faults specify. "gone"
// departs before the answer, "dribble" sends the body slowly, "twice" sends the request twice under the
// same id, and "junk" sends a malformed request on a further connection.
func (run *scenarioRun) misbehave(request *pendingRequest, out *outgoingRequest, i *instance) {
	drawn := func(kind string) bool {
		share := run.world.MisbehaviorShare(kind)
		return share > 0 && run.behaviorRandom.Float64() < share
	}
	if drawn("gone") {
		run.After(time.Duration(1+run.behaviorRandom.Int64N(int64(maxDepartureDelay))), func() {
			if !request.completed && run.Now() < request.Deadline {
				request.completed, request.departedAt = true, run.Now()
				run.world.Checker.ClientDeparted(run.Now(), out.id)
				request.cancel()
				request.Requester.Complete(request.Request, model.Failed, 0)
				run.After(retentionAfterAnswer, func() { delete(run.requests, request.ID) })
			}
		})
	}
	if drawn("dribble") && out.effect != string(decision.Safe) {
		out.chunks, out.deadline = bodyChunks, out.deadline.Add(-bodyChunks*chunkInterval) // the deadline counts from the last byte
	}
	if drawn("twice") && i.hasOneProcess() { // each process knows only the request ids that it has received
		copied := *out
		copied.chunks = 0
		run.After(time.Millisecond, func() {
			// The broker rejects the duplicate. The response is dropped.
			run.goroutines.Go(func() { copied.sendOnce(run.ctx, i.client) })
		})
	}
	if drawn("junk") {
		run.goroutines.Go(func() {
			if err := run.sendMalformed(strings.TrimPrefix(i.url, "http://")); err != nil {
				run.post(func() {
					if i.process != nil && !request.processKilled.Load() && run.ctx.Err() == nil {
						run.fail(err)
					}
				})
			}
		})
	}
}

// hasOneProcess reports whether exactly one process of the instance is alive.
func (i *instance) hasOneProcess() bool {
	n := 0
	for _, p := range i.processes {
		select {
		case <-p.Done():
		default:
			n++
		}
	}
	return n == 1
}

// sendMalformed sends a malformed request. It returns an error if the broker does not close the
// connection within malformedTimeout.
func (run *scenarioRun) sendMalformed(address string) error {
	ctx, stop := context.WithTimeout(run.ctx, malformedTimeout)
	defer stop()
	c, err := run.environment.Dial(ctx, "tcp", address)
	if err != nil {
		return nil // nothing listens there
	}
	defer c.Close()
	release := context.AfterFunc(run.ctx, func() { c.Close() })
	defer release()
	c.SetDeadline(time.Now().Add(malformedTimeout))
	io.WriteString(c, "POST /lab HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")
	_, err = io.Copy(io.Discard, c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("the broker at %s did not close the connection of a malformed request within %v", address, malformedTimeout)
	}
	return nil
}

// chunkedBody is a request body that is read in chunks, one each chunkInterval.
type chunkedBody struct {
	ctx       context.Context
	remaining int
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	b.remaining--
	select {
	case <-time.After(chunkInterval):
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
	n := min(len(p), chunkSize)
	clear(p[:n])
	return n, nil
}

// completeRequest records the response to a request.
func (run *scenarioRun) completeRequest(request *pendingRequest, r response) {
	if request.completed {
		return
	}
	request.completed = true
	now, id := run.Now(), string(request.ID)
	switch {
	case r.err == nil:
		run.world.Checker.RequestAnswered(now, id, r.outcome)
	case request.processKilled.Load():
		run.world.Checker.ProcessKilled(now, id)
	case errors.Is(r.err, syscall.ECONNREFUSED): // no process has accepted it
		run.world.Checker.ProcessKilled(now, id)
		r.outcome = model.Unreachable
	case errors.Is(r.err, context.DeadlineExceeded):
		run.world.Checker.ClientDeparted(now, id)
	default:
		run.world.Checker.ConnectionLost(now, id, r.err)
	}
	request.Requester.Complete(request.Request, r.outcome, r.retryAfter)
	run.After(retentionAfterAnswer, func() { delete(run.requests, request.ID) })
}

// Abandon cancels a request that its requester has given up. From the deadline on it does nothing, since
// the answer may still arrive within the grace period.
func (run *scenarioRun) Abandon(m *model.Request) {
	request := run.requests[m.ID]
	if request == nil || request.Request != m || request.completed || run.Now() >= m.Deadline {
		return
	}
	request.completed = true
	run.world.Checker.ClientDeparted(run.Now(), string(m.ID))
	request.cancel()
	run.After(retentionAfterAnswer, func() { delete(run.requests, m.ID) })
}

// outgoingRequest is a request as it is sent to an instance.
type outgoingRequest struct {
	url, id, class, effect, team, key string
	isRetry                           bool
	// The number of chunks of the body; 0 for a short body that is sent at once.
	chunks   int
	deadline time.Time
}

// response is the outcome of an outgoing request.
type response struct {
	outcome    string
	retryAfter time.Duration
	// Set if no complete answer arrived.
	err error
}

// send sends the request. It repeats a request that may have raced with the close of an idle connection,
// unless the process was killed.
func (q outgoingRequest) send(ctx context.Context, client *http.Client, killed *atomic.Bool) response {
	for {
		r, retry := q.sendOnce(ctx, client)
		if !retry || killed.Load() {
			return r
		}
	}
}

// sendOnce sends the request once and reports whether it may be sent again.
func (q outgoingRequest) sendOnce(ctx context.Context, client *http.Client) (_ response, retry bool) {
	method := http.MethodPost
	if q.effect == string(decision.Safe) {
		method = http.MethodGet
	}
	trace, connection := traceReuse(ctx)
	var body io.Reader
	if method == http.MethodPost {
		// net/http cannot rewind this body. It would otherwise repeat a request that carries an
		// Idempotency-Key by itself.
		body = io.MultiReader(strings.NewReader("lab"))
	}
	r, err := http.NewRequestWithContext(trace, method, q.url+"/lab", body)
	if err != nil {
		return response{outcome: model.Failed, err: err}, false
	}
	if body != nil {
		r.ContentLength = int64(len("lab"))
	}
	if body != nil && q.chunks > 0 {
		r.Body, r.ContentLength = io.NopCloser(&chunkedBody{ctx, q.chunks}), -1
	}
	r.Header.Set("X-Txn", q.id)
	r.Header.Set("X-Lane", q.class)
	r.Header.Set("X-Remaining", fmt.Sprintf("%du", max(time.Until(q.deadline).Microseconds(), 0)))
	if q.team != "" {
		r.Header.Set("X-Org", q.team)
	}
	if q.isRetry {
		r.Header.Set("X-Resent", "1")
	}
	if q.effect == string(decision.Keyed) {
		r.Header["Idempotency-Key"] = []string{q.key}
	}
	res, err := client.Do(r)
	if err != nil {
		if ctx.Err() != nil {
			return response{outcome: model.Failed, err: ctx.Err()}, false
		}
		return response{outcome: model.Failed, err: err}, connection.mayHaveRacedClose()
	}
	defer res.Body.Close()
	if err := drain(res); err != nil {
		return response{outcome: model.Failed, err: err}, false
	}
	switch res.StatusCode {
	case http.StatusOK:
		return response{outcome: model.Served}, false
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		after, _ := time.ParseDuration(strings.TrimSpace(res.Header.Get("Retry-After")) + "s") // 0 without the header
		return response{outcome: model.Refused, retryAfter: after}, false
	}
	return response{outcome: model.Failed}, false
}
