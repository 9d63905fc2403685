package dataplane

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"dykering/internal/errkind"
	"dykering/internal/nodefile"
)

// Retry-After values of rejections: when a client should retry a request that has not run.
const (
	// overloadRetryAfter is the shortest time if there is no capacity. A random time of up to the same length is added, so that
	// clients do not retry simultaneously.
	overloadRetryAfter = 250 * time.Millisecond
	// notReadyRetryAfter is the shortest time while the proxy has no configuration. After a restart of the whole system, the
	// configuration arrives within half a second; a client that retries earlier may use up its last attempt.
	notReadyRetryAfter = 700 * time.Millisecond
	// notReadyRetryJitter bounds the random time that is added to notReadyRetryAfter.
	notReadyRetryJitter = 150 * time.Millisecond
	// immediateRetryAfter is the shortest time if the request can be served immediately: by any other proxy while this one is
	// stopping, or by this one as soon as the client sends it again. A random time of up to the same length is added.
	immediateRetryAfter = 20 * time.Millisecond
)

// rejection is a response that the proxy generates in place of an endpoint's response: for load shedding, for a request that
// cannot be served, or after failed attempts. Its kind determines the status and whether the response promises that the request
// has not run.
type rejection struct {
	kind       errkind.Kind
	detail     string        // appended to the text of the kind
	retryAfter time.Duration // 0 for a response without Retry-After
}

// Error returns the text of the response body.
func (f *rejection) Error() string { return errkind.AnswerOf(f.kind).Text + ": " + f.detail }

// write sends the rejection to the client as the response.
func (f *rejection) write(w http.ResponseWriter) {
	answer := errkind.AnswerOf(f.kind)
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", f.retryAfter.Seconds()))
	}
	http.Error(w, f.Error(), answer.Status)
}

// notReadyRejection returns the rejection of a request while the proxy has no configuration.
func notReadyRejection() *rejection {
	return &rejection{kind: errkind.NotReady, retryAfter: notReadyRetryAfter + rand.N(notReadyRetryJitter)}
}

// noRouteRejection returns the rejection of a request that no route matches. It says that there is no route only if the proxy knows
// all changes that must be in force. A proxy that has had no update for longer than that may have missed the route.
func (s *Server) noRouteRejection() *rejection {
	if s.updateAge() <= nodefile.Milliseconds(s.settings.Bounds.ConfigApplyMs) {
		return &rejection{kind: errkind.NoRoute}
	}
	return &rejection{
		kind: errkind.NotReady, detail: "no route, but the configuration may be out of date", retryAfter: randomOverloadRetryAfter(),
	}
}

// stoppingRejection returns the rejection of a request that might not end before a stopping process exits.
func stoppingRejection() *rejection {
	return &rejection{
		kind: errkind.NotReady, detail: "this sidecar stops", retryAfter: immediateRetryAfter + rand.N(immediateRetryAfter),
	}
}

// routeAddedRejection returns the rejection of a request whose route was added after its body had been discarded.
func routeAddedRejection() *rejection {
	return &rejection{
		kind: errkind.NotReady, detail: "the route has just been added", retryAfter: immediateRetryAfter + rand.N(immediateRetryAfter),
	}
}

// readFailureRejection returns the rejection for an error of readRequest.
func readFailureRejection(err error) *rejection {
	rejected := &rejection{kind: errkind.KindOf(err), detail: err.Error()}
	if errkind.AnswerOf(rejected.kind).NotExecuted {
		rejected.retryAfter = overloadRetryAfter
	}
	return rejected
}

// randomOverloadRetryAfter returns a random time between one and two times overloadRetryAfter.
func randomOverloadRetryAfter() time.Duration { return overloadRetryAfter + rand.N(overloadRetryAfter) }
