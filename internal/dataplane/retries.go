package dataplane

import (
	"dykering/internal/errkind"
	"dykering/internal/routing"
)

// maxAttempts bounds how often a request is sent, whatever its route and the retry budget allow. Half or double: not measured.
const maxAttempts = 6

// retryOrFail decides whether a request that was not answered is sent again: nil for another attempt, else why it fails.
// What may have run is only sent again where its route allows that, and no more often than the route's max_attempts; what has
// not run is sent to another endpoint within the retry budget that all proxies share.
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
		x.tried[endpoint.ID] = true // one that was full may have capacity by then
	}
	if x.attempts > 0 && !x.allowRetry() {
		return &rejection{kind: errkind.Overloaded, detail: "no further sending is allowed", retryAfter: randomOverloadRetryAfter()}
	}
	return nil
}

// canResume reports whether another endpoint can go on with a response that has started: the client has an event after which
// to resume.
func (x *exchange) canResume() bool { return x.request.route.IsRetryable() && x.lastEventID != "" }

// allowRetry takes a retry from the budget.
func (x *exchange) allowRetry() bool {
	if x.attempts >= maxAttempts {
		return false
	}
	s := x.server
	return queryTables(s, func() bool { return s.retryBudget.AllowRetry(s.now(), x.request.service) })
}

// deadlineExceeded is the failure of a request whose time is over. Only one that has not run is told when to come back.
func (x *exchange) deadlineExceeded() *rejection {
	if x.mayHaveRun == 0 {
		return &rejection{kind: errkind.DeadlineExceeded, retryAfter: randomOverloadRetryAfter()}
	}
	return &rejection{kind: errkind.EndpointTimeout}
}

// withoutNotExecutedPromise takes the promise that a request has not run out of a failure where an attempt may have run: the client
// would send it again, and it would run twice.
func (x *exchange) withoutNotExecutedPromise(failure *rejection) *rejection {
	if failure != nil && x.mayHaveRun > 0 && errkind.AnswerOf(failure.kind).NotExecuted {
		return &rejection{kind: errkind.EndpointFailed, detail: failure.detail}
	}
	return failure
}
