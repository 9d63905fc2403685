package controlplane

import (
	"io"
	"net/http"
	"time"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
)

const (
	// headerTimeout bounds the time in which the header of a request must arrive.
	headerTimeout = 3 * time.Second
	// shutdownTimeout bounds the time that a process that ends waits for responses in progress.
	shutdownTimeout = 200 * time.Millisecond
	// idleTimeout closes a connection without requests. Heartbeats arrive more often.
	idleTimeout = 60 * time.Second
)

// httpHandler returns the handler of the HTTP API for endpoints, operators and monitoring. Each request runs in a
// goroutine of its own and accesses the tables through the event loop.
func (s *Server) httpHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /instances/{id}/heartbeat", s.handleHeartbeat)
	mux.HandleFunc("POST /instances/{id}/deregister", s.handleDeregister)
	mux.HandleFunc("POST /configuration/replace", s.handleConfigurationChange(fleetconfig.Replace))
	mux.HandleFunc("POST /configuration/modify", s.handleConfigurationChange(fleetconfig.Modify))
	mux.HandleFunc("GET /configuration/read", s.handleConfigurationRead)
	s.coordination.addRoutes(mux)
	mux.HandleFunc("GET /metrics", s.handleMetrics)
	return withBodyMemory(mux, s.bodies)
}

// writeError writes a response with the text of an error and the status of its kind.
func writeError(w http.ResponseWriter, err error) {
	answer := errkind.AnswerOf(errkind.KindOf(err))
	http.Error(w, err.Error(), answer.Status)
}

// writeEmptyObject writes the response to a request that succeeded and has no result.
func writeEmptyObject(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}\n")
}

// awaitOutcome starts an operation in the event loop and waits for its outcome. The operation calls answer in the event
// loop, immediately or later. Calls of answer after the first have no effect. If there is no answer in time, the error
// is of kind errkind.Unavailable and the operation may or may not have succeeded.
func (s *Server) awaitOutcome(start func(answer func(error))) error {
	answered := make(chan error, 1)
	s.enqueue(func() {
		start(func(err error) {
			select {
			case answered <- err:
			default:
			}
		})
	})
	select {
	case err := <-answered:
		return err
	case <-time.After(s.timing.callTimeout + s.timing.tickInterval):
		return errkind.New(errkind.Unavailable, "no answer in time")
	}
}

// query computes a value in the event loop and waits for it. It returns false if the process ends first.
func query[T any](s *Server, compute func() T) (T, bool) {
	computed := make(chan T, 1)
	s.enqueue(func() { computed <- compute() })
	select {
	case value := <-computed:
		return value, true
	case <-s.ctx.Done():
		var zero T
		return zero, false
	}
}
