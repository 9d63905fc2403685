package dataplane

import (
	"context"
	"math/rand/v2"
	"net/http"

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

	// Admit and route.
	config, route, rejected := s.admit(r)
	if rejected != nil {
		rejected.write(w)
		return
	}

	// Parse. The body's memory is held until the request ends.
	req, err := readRequest(r, route, config.parsed.Limits, &s.memory.Bodies)
	defer func() { s.memory.Bodies.Release(req.bodyMemory) }()
	if err != nil {
		readFailureRejection(err).write(w)
		return
	}
	s.classify(req, config.parsed)

	x := s.newExchange(r.Context(), w, req)
	defer x.close()
	s.countRequest(req)

	// Select, attempt and copy the response, until one attempt has answered or a retry is not allowed. A failure may come
	// after the response has started.
	var failure *rejection
	for failure == nil {
		var endpoint *routing.Endpoint
		if endpoint, failure = x.selectEndpoint(); failure != nil {
			break
		}
		result := x.attempt(endpoint)
		s.recordAttempt(endpoint, x.query(), result)
		if result.answered {
			x.clientLeft = result.callResult == routing.Canceled
			break
		}
		failure = x.retryOrFail(endpoint, result)
	}
	failure = x.withoutNotExecutedPromise(failure)

	// Record the outcome before the connection may be closed.
	x.recordOutcome(failure)

	switch {
	case failure == nil:
	case x.responseStarted:
		abortConnection(w)
	default:
		failure.write(w)
	}
}

// admit finds the configuration in force and a request's route, or says why the request is rejected before it is read: there
// is no configuration yet, no route, or the process stops before the request must have ended.
func (s *Server) admit(r *http.Request) (*activeConfig, *fleetconfig.Route, *rejection) {
	config := s.config.Load()
	if config == nil {
		return nil, nil, notReadyRejection()
	}
	route, ok := config.routes.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return nil, nil, &rejection{kind: errkind.NoRoute}
	}
	if !s.admits(requestTimeout(r, route)) {
		return nil, nil, stoppingRejection()
	}
	return config, route, nil
}

// classify completes a request by what the proxy knows beside it: its service, and how it compares with other requests.
func (s *Server) classify(req *request, config *fleetconfig.Config) {
	req.isRetry = s.deadlines.observe(req.route.Name, req.header.Get(headerDeadline))
	req.service = routing.SelectService(req.route, rand.Float64())
	if service, ok := config.Service(req.service); ok {
		req.engine = service.Engine
	}
	req.promptSize = s.promptSizes.observe(req.service, req.usage.prompt)
}

// abortConnection closes a client's connection in the middle of a response, so that the response does not look complete: neither
// the last chunk nor the rest of its length follows.
func abortConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // the writer cannot be hijacked: net/http has to abort the connection itself
	}
	conn.Close()
}

// exchange is one request on its way, from its parsing to its end. The goroutine of the request owns it.
type exchange struct {
	server  *Server
	request *request
	writer  http.ResponseWriter

	clientCtx context.Context // ends when the client leaves
	ctx       context.Context // ends with clientCtx, at the deadline, or when a stopping process cuts its responses
	cancel    context.CancelFunc
	unwatch   func() bool // ends the watch for the stop of the process

	// Attempts.
	tried      map[string]bool   // ids of endpoints that are not selected again
	selected   routing.Candidate // the endpoint of the last attempt
	attempts   int               // that sent the request, in part or in full
	mayHaveRun int               // of them, those that may have run

	// The response.
	responseStarted bool   // its head has gone to the client
	clientLeft      bool   // its client left while it was copied
	lastEventID     string // of the last event that has gone to the client
	weightsVersion  string // with which a stream of events has started
	timing          requestTiming
}

// newExchange starts an exchange; close ends it.
func (s *Server) newExchange(clientCtx context.Context, w http.ResponseWriter, req *request) *exchange {
	ctx, cancel := context.WithDeadline(clientCtx, req.deadline)
	unwatch := context.AfterFunc(s.responsesAborted, cancel) //nolint:contextcheck // the process ends a request beside its client
	return &exchange{
		server: s, request: req, writer: w, clientCtx: clientCtx, ctx: ctx, cancel: cancel,
		unwatch: unwatch, tried: map[string]bool{},
	}
}

func (x *exchange) close() {
	x.unwatch()
	x.cancel()
}

// countRequest counts the arrival of a request, for the retry budget and the demand report.
func (s *Server) countRequest(req *request) {
	s.enqueue(func() {
		s.retryBudget.CountRequest(s.now(), req.service)
		s.demand.requestArrived(req.demandKey(), req.usage.weightedTokens())
	})
}

// recordAttempt has the tables' owner end the call of an attempt.
func (s *Server) recordAttempt(endpoint *routing.Endpoint, q routing.Query, result attemptResult) {
	s.enqueue(func() {
		now := s.now()
		s.pool.EndCall(now, endpoint, q, result.callResult, result.responseStarted)
		if result.load != nil {
			s.pool.ReportLoad(now, endpoint, *result.load)
		}
	})
}

// recordOutcome has the tables' owner count how the request ended. Failure is nil for one that was answered, and says why the
// response was cut for one whose response has started.
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
