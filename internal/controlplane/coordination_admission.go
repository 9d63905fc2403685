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
}

func newCallAdmission() *callAdmission { return &callAdmission{byCaller: map[string]int{}} }

// begin admits a call. It returns an error of kind errkind.RateLimited if too many are in progress; end must be called
// otherwise.
func (a *callAdmission) begin(caller string) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
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

// callerOf returns the host from which a call comes. The calls of the page name no caller otherwise.
func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
