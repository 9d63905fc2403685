package dataplane

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/connlimit"
	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/routing"
)

// ServeHTTP forwards one request of a client to an endpoint and copies the response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requestsInFlight.Add(1)
	defer s.requestsInFlight.Add(-1)
	if s.isStopping() {
		w.Header().Set("Connection", "close")
	}

	// Admit, route and read. The memory for the body is held until the request ends.
	req, config, rejected := s.receive(w, r) //nolint:contextcheck // the request carries its context
	defer func() { s.memory.Bodies.Release(req.bodyMemory) }()
	if rejected != nil {
		s.logEarlyRejection(r, rejected)
		rejected.write(w)
		return
	}
	s.classify(req, config.parsed)

	x := s.newExchange(r.Context(), w, req)
	defer x.close()
	s.countRequest(req)

	// Select an endpoint and make an attempt, until an attempt has answered the request or no retry is allowed. A failure may
	// occur after the response has started.
	var failure *rejection
	for failure == nil {
		var endpoint *routing.Endpoint
		if endpoint, failure = x.selectEndpoint(); failure != nil {
			break
		}
		result := x.attempt(endpoint)
		s.recordAttempt(x, endpoint, result)
		if result.answered {
			x.clientLeft = result.callResult == routing.Canceled
			break
		}
		failure = x.retryOrFail(endpoint, result)
	}
	failure = x.withoutNotExecutedPromise(failure)

	// Record the outcome before the connection may be closed.
	x.recordOutcome(failure)
	s.logOutcome(x, failure)

	switch {
	case failure == nil:
	case x.responseStarted:
		abortConnection(w, r)
	default:
		failure.write(w)
	}
}

// receive admits and reads a request. It returns the request, which is never nil, and the configuration that decides it, or a
// rejection. The caller must release the request's bodyMemory.
func (s *Server) receive(w http.ResponseWriter, r *http.Request) (*request, *activeConfig, *rejection) {
	config, route, rejected := s.admit(r)
	if rejected != nil && rejected.kind == errkind.NoRoute {
		rejected = s.awaitRoute(w, r, rejected)
	}
	if rejected != nil {
		return &request{}, nil, rejected
	}
	acquire := func(bytes int) bool {
		return connlimit.AcquireForBody(r.Context(), &s.memory.Bodies, bytes)
	}
	req, err := readRequest(w, r, route, config.parsed.Limits, acquire)
	if err != nil {
		return req, nil, readFailureRejection(err)
	}
	if s.config.Load() == config {
		return req, config, nil
	}
	// The configuration has changed while the body arrived: other requests may have shown the new one already.
	if config, route, rejected = s.admit(r); rejected != nil {
		return req, nil, rejected
	}
	req.setRoute(r, route)
	return req, config, nil
}

// awaitRoute returns the rejection of a request whose head matches no route, once its body has arrived: a change that comes meanwhile
// may add the route. A body of more than maxDiscardedBytes is not awaited.
func (s *Server) awaitRoute(w http.ResponseWriter, r *http.Request, noRoute *rejection) *rejection {
	if r.Body == http.NoBody || r.ContentLength > maxDiscardedBytes {
		return noRoute
	}
	wait := min(clientTimeout(r), readHeaderTimeout)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(wait)) // a writer without deadlines does not wait
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscardedBytes); !errors.Is(err, io.EOF) {
		return noRoute
	}
	if _, _, rejected := s.admit(r); rejected != nil {
		return rejected
	}
	return routeAddedRejection()
}

// admit returns the active configuration and the route of a request, or a rejection before the request is read. It rejects a
// request if there is no configuration yet, if no route matches, or if the process is stopping and may cut the request off
// before its timeout.
func (s *Server) admit(r *http.Request) (*activeConfig, *fleetconfig.Route, *rejection) {
	config := s.config.Load()
	if config == nil {
		return nil, nil, notReadyRejection()
	}
	route, ok := config.routes.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return nil, nil, s.noRouteRejection()
	}
	if !s.admits(requestTimeout(r, route)) {
		return nil, nil, stoppingRejection()
	}
	return config, route, nil
}

// classify sets the fields of a request that depend on the configuration or on earlier requests: its service and engine, whether
// it is a retry, and the size class of its prompt.
func (s *Server) classify(req *request, config *fleetconfig.Config) {
	req.isRetry = s.deadlines.observe(req.route.Name, req.header.Get(headerDeadline))
	req.service = routing.SelectService(req.route, rand.Float64())
	if service, ok := config.Service(req.service); ok {
		req.engine = service.Engine
	}
	req.promptSize = s.promptSizes.observe(req.service, req.usage.prompt)
}

// abortConnection closes a client's connection in the middle of a response. The client can tell that the response is truncated,
// since it receives neither the last chunk nor all bytes of Content-Length. An HTTP/1.0 client gets no chunks: without a
// Content-Length, only a reset tells it.
func abortConnection(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // the connection cannot be hijacked, so net/http must abort it
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok && !r.ProtoAtLeast(1, 1) {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	conn.Close()
}

// exchange is the processing of one request, from the end of its parsing to the end of its response. Only the goroutine of the
// request uses it.
type exchange struct {
	server  *Server
	request *request
	writer  http.ResponseWriter

	clientCtx context.Context // done when the client leaves
	ctx       context.Context // done with clientCtx, at the deadline, or when a stopping process aborts its responses
	cancel    context.CancelFunc
	unwatch   func() bool // stops waiting for the process to abort its responses

	// Attempts.
	tried      map[string]bool   // IDs of endpoints that must not be selected again
	selected   routing.Candidate // the endpoint of the last attempt
	attempts   int               // number of times that the request was sent, in part or in full
	mayHaveRun int               // number of attempts in which the endpoint may have run the request

	// The response.
	responseStarted bool   // the response head was sent to the client
	clientLeft      bool   // the client disconnected while the response was copied
	lastEventID     string // ID of the last event that was sent to the client
	weightsVersion  string // version of the model weights that started the stream of events
	timing          requestTiming
}

// responseGracePeriod is how long after the deadline of a request a client may still read the response.
const responseGracePeriod = time.Second

// newExchange creates an exchange. The caller must close it.
func (s *Server) newExchange(clientCtx context.Context, w http.ResponseWriter, req *request) *exchange {
	ctx, cancel := context.WithDeadline(clientCtx, req.deadline)
	// Without the deadline a client that does not read would hold its response forever. A writer without deadlines has no connection.
	_ = http.NewResponseController(w).SetWriteDeadline(req.deadline.Add(responseGracePeriod))
	unwatch := context.AfterFunc(s.responsesAborted, cancel) //nolint:contextcheck // a stopping process also ends the request
	return &exchange{
		server: s, request: req, writer: w, clientCtx: clientCtx, ctx: ctx, cancel: cancel,
		unwatch: unwatch, tried: map[string]bool{},
	}
}

func (x *exchange) close() {
	x.unwatch()
	x.cancel()
}

// countRequest counts the arrival of a request for the retry budget and for the demand report.
func (s *Server) countRequest(req *request) {
	s.enqueue(func() {
		s.retryBudget.CountRequest(s.now(), req.service)
		s.demand.requestArrived(req.demandKey(), req.usage.weightedTokens())
	})
}

// recordOutcome counts how the request ended, and keeps an explanation unless it was answered in time. The failure is nil for an
// answered request. If the response has started, the failure is the reason why it was truncated.
func (x *exchange) recordOutcome(failure *rejection) {
	if failure != nil && x.responseStarted && x.clientCtx.Err() != nil {
		x.clientLeft = true
	}
	s, key, started := x.server, x.request.demandKey(), x.responseStarted
	outcome := x.outcome(failure)
	var explanation RequestExplanation
	if outcome.result != resultInTime {
		explanation = x.explain(outcome)
	}
	s.enqueue(func() {
		s.countOutcome(outcome)
		if outcome.result != resultInTime {
			s.explanations.add(explanation)
		}
		if !started {
			s.demand.responseStarted(key)
		}
		s.demand.requestEnded(key)
	})
}
