package controlplane

import (
	"net"
	"net/http"
	"sync"

	"dykering/internal/errkind"
)

const (
	// maxCoordinationCalls bounds the calls in progress at one member. Watches are not counted.
	maxCoordinationCalls = 512
	// maxCallsPerCaller bounds the calls in progress of one caller, so that a caller that sends too many leaves most of
	// the capacity to others.
	maxCallsPerCaller = maxCoordinationCalls / 4
)

// callAdmission counts the calls in progress, in total and by caller. It is safe for concurrent use by HTTP handlers.
type callAdmission struct {
	mutex    sync.Mutex
	total    int
	byCaller map[string]int
	// stopping is true during a shutdown. New calls are then rejected, so that the calls in progress can finish.
	stopping bool
}

func newCallAdmission() *callAdmission { return &callAdmission{byCaller: map[string]int{}} }

// begin admits a call, which must be released by end. It returns an error of kind errkind.RateLimited if too many calls
// are in progress, and of kind errkind.NotReady during a shutdown.
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

// end releases a call that begin has admitted.
func (a *callAdmission) end(caller string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.total--
	a.byCaller[caller]--
	if a.byCaller[caller] == 0 {
		delete(a.byCaller, caller)
	}
}

// stop makes begin reject all further calls.
func (a *callAdmission) stop() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.stopping = true
}

// isIdle reports whether no call is in progress. After stop it becomes true within the timeout of a call.
func (a *callAdmission) isIdle() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.total == 0
}

// callerHost returns the remote host of a request. It identifies the caller, since requests carry no other name of it.
func callerHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
