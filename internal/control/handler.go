package control

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// The paths of the control address. They are fixed; see docs/FIXED.md.
const (
	readyPath  = "/-/ready"
	drainPath  = "/-/drain"
	resumePath = "/-/resume"
	fleetPath  = "/-/fleet"
)

// Sidecar is what operators control. Its methods must not block: an answer is due under any load.
type Sidecar interface {
	// CanServe reports whether the process can serve, drained or not.
	CanServe() bool
	// Drain starts a drain.
	Drain()
	// Resume ends a drain.
	Resume()
}

// Fleet is what the process holds of the fleet.
type Fleet interface {
	// Answer returns the JSON value of a path below that of the fleet, empty for the path itself; nil for one that the
	// process does not have.
	Answer(path string) any
}

// route is what a path is answered with.
type route struct {
	method string
	handle     func() bool
}

// handler answers calls. http.ServeMux would redirect paths that are not clean.
type handler struct {
	routes map[string]route
	fleet  Fleet
}

func newHandler(s Sidecar, fleet Fleet) *handler {
	return &handler{fleet: fleet, routes: map[string]route{
		readyPath:  {http.MethodGet, s.CanServe},
		drainPath:  {http.MethodPost, alwaysSucceeds(s.Drain)},
		resumePath: {http.MethodPost, alwaysSucceeds(s.Resume)},
	}}
}

// alwaysSucceeds makes a call of an action that cannot fail.
func alwaysSucceeds(act func()) func() bool {
	return func() bool {
		act()
		return true
	}
}

// ServeHTTP answers a call.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.serveFleet(w, r) {
		return
	}
	route, ok := h.routes[r.URL.Path]
	switch {
	case !ok:
		http.Error(w, "no such call", http.StatusNotFound)
		return
	case r.Method != route.method:
		w.Header().Set("Allow", route.method)
		http.Error(w, "the method is "+route.method, http.StatusMethodNotAllowed)
		return
	}
	// The announced body has to have arrived: half a call must change nothing.
	received, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || received > maxBodyBytes {
		http.Error(w, "malformed call", http.StatusBadRequest)
		return
	}
	if !route.handle() {
		http.Error(w, "no", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "yes\n")
}

// serveFleet answers a call about the fleet, and reports whether it was one that can be answered.
func (h *handler) serveFleet(w http.ResponseWriter, r *http.Request) bool {
	path, ok := strings.CutPrefix(r.URL.Path, fleetPath)
	if !ok || h.fleet == nil || r.Method != http.MethodGet {
		return false
	}
	answer := h.fleet.Answer(strings.TrimPrefix(path, "/"))
	if answer == nil {
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // a client that has departed cannot be notified
	return true
}
