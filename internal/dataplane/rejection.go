package dataplane

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"dykering/internal/errkind"
)

// Retry-After of rejections: when a client should send a request again that has not run.
const (
	// overloadRetryAfter is the least time where there is no capacity; as much again is drawn at random, so that clients do
	// not come back together. Half or double: not measured.
	overloadRetryAfter = 250 * time.Millisecond
	// notReadyRetryAfter is for a proxy that has no configuration yet: after a restart of the whole system one is there within
	// half a second, and a client that comes too early has used up its last attempt (docs/incidents/inc-e26b.md). Half or
	// double: not measured.
	notReadyRetryAfter = 700 * time.Millisecond
	// notReadyRetryJitter is added to it, drawn at random up to this.
	notReadyRetryJitter = 150 * time.Millisecond
	// stoppingRetryAfter is for a proxy that stops: any other one can serve the request now. As much again is drawn at random.
	// Half or double: not measured.
	stoppingRetryAfter = 20 * time.Millisecond
)

// rejection is a response of the proxy's own, in place of an endpoint's: load shedding, a request that cannot be served, or
// the failure of its attempts. Its kind decides the status and whether it promises that the request has not run.
type rejection struct {
	kind       errkind.Kind
	detail     string
	retryAfter time.Duration // 0 for none
}

// Error is the text of the response.
func (f *rejection) Error() string { return errkind.AnswerOf(f.kind).Text + ": " + f.detail }

// write sends the rejection as the response.
func (f *rejection) write(w http.ResponseWriter) {
	answer := errkind.AnswerOf(f.kind)
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", f.retryAfter.Seconds()))
	}
	http.Error(w, f.Error(), answer.Status)
}

// notReadyRejection rejects a request while there is no configuration.
func notReadyRejection() *rejection {
	return &rejection{kind: errkind.NotReady, retryAfter: notReadyRetryAfter + rand.N(notReadyRetryJitter)}
}

// stoppingRejection rejects a request that might not end before the process does.
func stoppingRejection() *rejection {
	return &rejection{kind: errkind.NotReady, detail: "this sidecar stops", retryAfter: stoppingRetryAfter + rand.N(stoppingRetryAfter)}
}

// readFailureRejection rejects a request that could not be read, by the error of readRequest.
func readFailureRejection(err error) *rejection {
	rejected := &rejection{kind: errkind.KindOf(err), detail: err.Error()}
	if rejected.kind == errkind.Overloaded {
		rejected.retryAfter = overloadRetryAfter
	}
	return rejected
}

// randomOverloadRetryAfter is a Retry-After for a request that found no capacity.
func randomOverloadRetryAfter() time.Duration { return overloadRetryAfter + rand.N(overloadRetryAfter) }
