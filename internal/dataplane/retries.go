package dataplane

import (
	"dykering/internal/errkind"
	"dykering/internal/routing"
)

// maxAttempts bounds the attempts of a request, whatever its route and the retry budget allow.
const maxAttempts = 6

// retryOrFail decides whether a request is retried after a failed attempt. It returns nil for another attempt, and otherwise the
// failure. After an attempt that may have run the request, a retry requires a route that allows it, and fewer than max_attempts
// such attempts. Every retry counts against the retry budget of the service, unless no attempt could connect yet.
func (x *exchange) retryOrFail(endpoint *routing.Endpoint, result attemptResult) *rejection {
	route := x.request.route
	if result.mayHaveRun {
		x.mayHaveRun++
	}
	if x.ctx.Err() != nil {
		return x.deadlineExceeded()
	}
	if x.responseStarted && !x.canResume() {
		return &rejection{kind: result.kind}
	}
	if result.mayHaveRun && (!route.IsRetryable() || x.mayHaveRun >= max(int(route.MaxAttempts), 1)) {
		return &rejection{kind: result.kind, detail: result.detail}
	}
	if result.callResult != routing.RejectedFull {
		x.tried[endpoint.ID] = true // an endpoint that was full may have capacity again, so it stays selectable
	}
	if x.attempts > 0 && !x.allowRetry() {
		return &rejection{kind: errkind.Overloaded, detail: "no further sending is allowed", retryAfter: randomOverloadRetryAfter()}
	}
	return nil
}

// canResume reports whether another endpoint can resume a stream that has started: the route allows it, and the client has
// received an event with an ID to resume after.
func (x *exchange) canResume() bool { return x.request.route.IsRetryable() && x.lastEventID != "" }

// allowRetry takes one retry from the retry budget of the service. It returns false if the budget is exhausted or the request
// has had maxAttempts attempts.
func (x *exchange) allowRetry() bool {
	if x.attempts >= maxAttempts {
		return false
	}
	s := x.server
	return queryTables(s, func() bool { return s.retryBudget.AllowRetry(s.now(), x.request.service) })
}

// deadlineExceeded returns the failure of a request whose deadline has passed. It has a Retry-After only if no attempt may have
// run the request.
func (x *exchange) deadlineExceeded() *rejection {
	if x.mayHaveRun == 0 {
		return &rejection{kind: errkind.DeadlineExceeded, retryAfter: randomOverloadRetryAfter()}
	}
	return &rejection{kind: errkind.EndpointTimeout}
}

// withoutNotExecutedPromise replaces a failure that promises that the request has not run if an attempt may have run it. With the
// promise, the client would retry the request and it could run twice.
func (x *exchange) withoutNotExecutedPromise(failure *rejection) *rejection {
	if failure != nil && x.mayHaveRun > 0 && errkind.AnswerOf(failure.kind).NotExecuted {
		return &rejection{kind: errkind.EndpointFailed, detail: failure.detail}
	}
	return failure
}
