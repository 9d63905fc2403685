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

// Timeouts of an attempt.
const (
	// dialTimeout bounds the time to connect to an endpoint.
	dialTimeout = 1 * time.Second
	// silenceTimeout is the time without a response after which a client's cancellation counts as a timeout of the endpoint. An
	// earlier cancellation does not count against the endpoint.
	silenceTimeout = 1500 * time.Millisecond
)

// attemptResult describes how one attempt to send a request to an endpoint ended.
type attemptResult struct {
	answered        bool // the response was sent to the client, or the client left while it was being sent
	mayHaveRun      bool // the endpoint may have run the request, in part or in full
	responseStarted bool // the endpoint sent the head of a response
	callResult      routing.CallResult
	kind            errkind.Kind          // kind of the failure, unless answered
	detail          string                // text of the failure, unless answered
	load            *routing.ReportedLoad // nil if the endpoint did not report its load
	connection      attemptConnection
}

// attemptConnection describes the connection of an attempt. It is zero if the proxy could not connect.
type attemptConnection struct {
	localAddress     string // identifies the connection
	reused           bool   // the connection has carried an earlier request
	sentBytes        int64  // bytes of the request that were sent
	surplusResponses int    // responses to other requests that were skipped during the attempt
}

// attempt connects to an endpoint and sends the request to it once.
func (x *exchange) attempt(endpoint *routing.Endpoint) attemptResult {
	dialStarted := time.Now()
	conn, isNew, err := x.server.connect(x.ctx, endpoint, x.request.id)
	x.timing.addTime(phaseDial, dialStarted)
	if err != nil {
		return x.dialFailedResult()
	}
	return x.sendOn(conn, isNew, endpoint)
}

// sendOn sends the request on a connection. It copies the response to the client unless the response reports that the endpoint
// has not run the request, or is invalid. Afterwards the connection is in the pool or closed.
func (x *exchange) sendOn(conn *http1.EndpointConn, isNew bool, endpoint *routing.Endpoint) attemptResult {
	unwatch := context.AfterFunc(x.ctx, func() { conn.Close() })
	defer unwatch()

	connection := attemptConnection{localAddress: conn.LocalAddress(), reused: !isNew}
	surplusBefore := conn.SurplusResponses()
	result, response := x.exchangeOn(conn, isNew, endpoint)
	connection.sentBytes = conn.StopSending().Sent
	connection.surplusResponses = conn.SurplusResponses() - surplusBefore
	result.connection = connection

	// Another request may use the connection as soon as it is in the pool.
	if response != nil && response.Reusable() && unwatch() {
		x.server.connections.put(endpoint.ID, conn, idleConnectionLifetime(response.Header))
	} else {
		conn.Close()
	}
	return result
}

// exchangeOn sends the request and handles the response, which is nil if its head was not received. The request may still be being
// sent afterwards.
func (x *exchange) exchangeOn(conn *http1.EndpointConn, isNew bool, endpoint *routing.Endpoint) (
	attemptResult, *http1.EndpointResponse,
) {
	s, req := x.server, x.request
	x.attempts++
	if err := conn.Send(req.id, x.requestHead(endpoint), req.body, req.deadline); err != nil {
		return x.unsentHeadResult(isNew, err), nil
	}

	sentAt := time.Now()
	response, err := conn.ReadResponse(headerRequestID, req.id)
	if err != nil {
		x.timing.addTime(phaseFailedAttempt, sentAt)
		if !conn.StopSending().ReachedBody() {
			return x.unsentHeadResult(isNew, err), nil
		}
		return x.missingHeadResult(err, time.Since(sentAt)), nil
	}
	s.enqueue(func() { s.pool.ResponseStarted(endpoint) })
	waited := time.Since(sentAt)

	result := x.handleResponse(response)
	result.responseStarted = true
	x.timing.phaseDurations[result.phase()] += waited
	return result, response
}

// dialFailedResult returns the result of an attempt that could not connect to the endpoint.
func (x *exchange) dialFailedResult() attemptResult {
	if x.ctx.Err() != nil {
		return attemptResult{callResult: routing.Canceled, kind: errkind.DeadlineExceeded}
	}
	return attemptResult{callResult: routing.Unreachable, kind: errkind.NoEndpoint, detail: "no connection"}
}

// unsentHeadResult returns the result of an attempt that could not send the complete head of the request. The endpoint cannot
// have run it. Once the head is sent, it may have: an endpoint need not read the body first.
func (x *exchange) unsentHeadResult(isNew bool, err error) attemptResult {
	if x.ctx.Err() != nil {
		return attemptResult{callResult: routing.Canceled, kind: errkind.DeadlineExceeded}
	}
	call := routing.ConnectionLost
	if !isNew {
		call = routing.Canceled // the endpoint may close an idle connection at any time, so this is no failure of the endpoint
	}
	return attemptResult{callResult: call, kind: errkind.EndpointFailed, detail: errorText(err)}
}

// missingHeadResult returns the result of an attempt that received no complete response head.
func (x *exchange) missingHeadResult(err error, waited time.Duration) attemptResult {
	result := x.lostResponseResult(err)
	if result.callResult == routing.Canceled && waited >= silenceTimeout {
		result.callResult = routing.TimedOut // the client canceled the request because the endpoint did not respond
	}
	return result
}

// lostResponseResult returns the result of an attempt that sent the head of the request, and perhaps its body, and did not receive
// a complete response.
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

// connect takes an idle connection to an endpoint that may carry a request from the pool, or dials a new one.
func (s *Server) connect(ctx context.Context, endpoint *routing.Endpoint, requestID string) (
	conn *http1.EndpointConn, isNew bool, err error,
) {
	if conn = s.connections.get(endpoint.ID, requestID); conn != nil {
		return conn, false, nil
	}
	conn, err = http1.DialEndpoint(ctx, s.connections.sharedState(endpoint.ID, endpoint.Address), dialTimeout)
	return conn, true, err
}

// requestHead returns the request head that is sent to an endpoint. It has the client's end-to-end headers and the headers that
// the proxy sets: the expected incarnation of the endpoint, the remaining time, the priority and, for a resumed stream, the
// last event that the client has.
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
