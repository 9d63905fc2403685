package dataplane

import (
	"context"
	"errors"
	"strconv"
	"time"

	"dykering/internal/errkind"
	"dykering/internal/http1"
	"dykering/internal/routing"
)

// Times of an attempt.
const (
	// dialTimeout bounds a connection to an endpoint. Half or double: not measured.
	dialTimeout = 1 * time.Second
	// silenceTimeout is how long an endpoint may be silent before it, and not the client, counts as the cause where the client
	// gives up. Half or double: not measured.
	silenceTimeout = 1500 * time.Millisecond
)

// attemptResult is how one attempt ended.
type attemptResult struct {
	answered        bool // the client has its response
	mayHaveRun      bool // the endpoint may have run the request, in part or in full
	responseStarted bool // the head of a response came from the endpoint
	callResult      routing.CallResult
	kind            errkind.Kind // unless answered
	detail          string
	load            *routing.ReportedLoad // nil where the endpoint has not reported it
}

// attempt sends the request to an endpoint once, and copies the response if it is one for the client.
func (x *exchange) attempt(endpoint *routing.Endpoint) attemptResult {
	s, req := x.server, x.request
	dialStarted := time.Now()
	conn, isNew, err := s.connect(x.ctx, endpoint)
	x.timing.addTime(phaseDial, dialStarted)
	if err != nil {
		return x.dialFailedResult()
	}
	unwatch := context.AfterFunc(x.ctx, func() { conn.Close() })
	defer unwatch()

	x.attempts++
	complete, err := conn.Write(x.requestHead(endpoint), req.body, req.deadline)
	if !complete {
		conn.Close()
		return x.incompleteSendResult(isNew, err)
	}

	sentAt := time.Now()
	response, err := conn.ReadResponse(headerRequestID, req.id)
	if err != nil {
		x.timing.addTime(phaseFailedAttempt, sentAt)
		conn.Close()
		return x.missingHeadResult(err, time.Since(sentAt))
	}
	s.enqueue(func() { s.pool.ResponseStarted(endpoint) })
	waited := time.Since(sentAt)

	result := x.handleResponse(response)
	result.responseStarted = true
	x.timing.phaseDurations[result.phase()] += waited
	if response.Reusable() && unwatch() {
		s.connections.put(endpoint.ID, conn, idleConnectionLifetime(response.Header))
	} else {
		conn.Close()
	}
	return result
}

// dialFailedResult is the result where no connection could be made.
func (x *exchange) dialFailedResult() attemptResult {
	if x.ctx.Err() != nil {
		return attemptResult{callResult: routing.Canceled, kind: errkind.DeadlineExceeded}
	}
	return attemptResult{callResult: routing.Unreachable, kind: errkind.NoEndpoint, detail: "no connection"}
}

// incompleteSendResult is the result where a part of the request was certainly not written: it has not run.
func (x *exchange) incompleteSendResult(isNew bool, err error) attemptResult {
	if x.ctx.Err() != nil {
		return attemptResult{callResult: routing.Canceled, kind: errkind.DeadlineExceeded}
	}
	call := routing.ConnectionLost
	if !isNew {
		call = routing.Canceled // an idle connection that its endpoint has just closed is no fault of the endpoint
	}
	return attemptResult{callResult: call, kind: errkind.EndpointFailed, detail: errorText(err)}
}

// missingHeadResult is the result where the head of a response did not come.
func (x *exchange) missingHeadResult(err error, waited time.Duration) attemptResult {
	result := x.lostResponseResult(err)
	if result.callResult == routing.Canceled && waited >= silenceTimeout {
		result.callResult = routing.TimedOut // the client gave up because the endpoint was silent
	}
	return result
}

// lostResponseResult is the result where the request was sent and its response did not come in full.
func (x *exchange) lostResponseResult(err error) attemptResult {
	if ctxErr := x.ctx.Err(); ctxErr != nil {
		call := routing.TimedOut
		if errors.Is(ctxErr, context.Canceled) {
			call = routing.Canceled
		}
		return attemptResult{mayHaveRun: true, callResult: call, kind: errkind.EndpointTimeout}
	}
	return attemptResult{mayHaveRun: true, callResult: routing.ConnectionLost, kind: errkind.EndpointFailed, detail: errorText(err)}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// connect takes an idle connection to an endpoint, or makes one.
func (s *Server) connect(ctx context.Context, endpoint *routing.Endpoint) (conn *http1.EndpointConn, isNew bool, err error) {
	if conn = s.connections.get(endpoint.ID); conn != nil {
		return conn, false, nil
	}
	conn, err = http1.DialEndpoint(ctx, s.connections.sharedState(endpoint.ID, endpoint.Address), dialTimeout)
	return conn, true, err
}

// requestHead is the head of the request as it goes to an endpoint: the client's end-to-end headers with the expected
// incarnation, the remaining time, the priority and, for a stream that is resumed, the last event.
func (x *exchange) requestHead(endpoint *routing.Endpoint) []byte {
	req := x.request
	header := req.header.Clone()
	http1.RemoveHopByHop(header)
	header.Set(headerExpectedInstance, endpoint.ID)
	if x.responseStarted {
		header.Set(headerLastEventID, x.lastEventID)
		if x.weightsVersion != "" {
			header.Set(headerExpectVersion, x.weightsVersion)
		}
	}
	header.Set(headerDeadline, strconv.FormatInt(max(req.remaining().Milliseconds(), 1), 10))
	if req.engine != nil {
		header.Set(headerPriority, strconv.Itoa(req.priority()))
	}
	return http1.RequestHead(req.method, req.target, req.host, header, len(req.body))
}
