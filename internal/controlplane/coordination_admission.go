package controlplane

import (
	"net"
	"net/http"
	"sync"

	"dykering/internal/errkind"
)

const (
	// maxCoordinationCalls bounds the calls that are in progress at one member, watches excepted.
	maxCoordinationCalls = 512
	// maxCallsPerCaller bounds those of one caller, so that one that calls without end leaves most of them to others.
	maxCallsPerCaller = maxCoordinationCalls / 4
)

// callAdmission counts the calls in progress, in total and by caller. It is used by the handlers, each in a goroutine.
type callAdmission struct {
	mutex    sync.Mutex
	total    int
	byCaller map[string]int
	// stopping is true once the process is to stop: calls are rejected, so that those in progress come to an end.
	stopping bool
}

func newCallAdmission() *callAdmission { return &callAdmission{byCaller: map[string]int{}} }

// begin admits a call. It returns an error of kind errkind.RateLimited if too many are in progress, and of kind
// errkind.NotReady if the process is to stop; end must be called otherwise.
func (a *callAdmission) begin(caller string) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case a.stopping:
		return errkind.New(errkind.NotReady, "the process stops")
	case a.total >= maxCoordinationCalls:
		return errkind.New(errkind.RateLimited, "too many calls are in progress")
	case a.byCaller[caller] >= maxCallsPerCaller:
		return errkind.New(errkind.RateLimited, "too many calls of this caller are in progress")
	}
	a.total++
	a.byCaller[caller]++
	return nil
}

// end ends a call that was admitted.
func (a *callAdmission) end(caller string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.total--
	a.byCaller[caller]--
	if a.byCaller[caller] == 0 {
		delete(a.byCaller, caller)
	}
}

// stop rejects all further calls.
func (a *callAdmission) stop() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.stopping = true
}

// isIdle reports whether no call is in progress. Once calls are rejected it becomes true within the time-out of a call.
func (a *callAdmission) isIdle() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.total == 0
}

// callerHost returns the host from which a call comes. The calls of the page name no caller otherwise.
func callerHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
