package control

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// The paths of the control address. Operators' tools depend on them.
const (
	readyPath  = "/-/ready"
	drainPath  = "/-/drain"
	resumePath = "/-/resume"
	fleetPath  = "/-/fleet"
)

// Sidecar is the process that operators control. Its methods must not block, because operators expect answers under any
// load.
type Sidecar interface {
	// CanServe reports whether the process can serve requests. It can during a drain too.
	CanServe() bool
	// Drain starts a drain.
	Drain()
	// Resume ends a drain.
	Resume()
}

// Fleet provides the state of the fleet as this process knows it.
type Fleet interface {
	// Answer returns the value to be encoded as JSON for a path relative to /-/fleet. The empty path is /-/fleet itself. It
	// returns nil if the process has no value for the path.
	Answer(path string) any
}

// route is the method of a path and the function that handles its requests.
type route struct {
	method string
	handle func() bool // false is answered with 503 Service Unavailable
}

// handler answers the requests. It replaces http.ServeMux, which would redirect paths such as //-/drain.
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

// alwaysSucceeds converts an action that cannot fail to a route's handle function.
func alwaysSucceeds(act func()) func() bool {
	return func() bool {
		act()
		return true
	}
}

// ServeHTTP answers a request.
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
	// Wait for the complete body, because an incomplete request must have no effect.
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

// serveFleet answers a GET request for the state of the fleet. It returns false if the request is for something else or the
// fleet has no answer.
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
	_ = json.NewEncoder(w).Encode(answer) // an encoding error means that the client has disconnected
	return true
}
