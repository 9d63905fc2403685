package controlplane

import (
	"io"
	"net/http"
	"time"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
)

const (
	// headerTimeout is the time within which the header of a request must arrive.
	headerTimeout = 3 * time.Second
	// shutdownTimeout is the time for which a process that ends waits for answers that are being written.
	shutdownTimeout = 200 * time.Millisecond
	// idleTimeout closes a connection without a request; heartbeats come more often.
	idleTimeout = 60 * time.Second
)

// httpHandler serves the HTTP API of endpoints, the operator and the monitoring. Each handler runs in its request's
// goroutine and reaches the tables through the event loop.
func (s *Server) httpHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /instances/{id}/heartbeat", s.handleHeartbeat)
	mux.HandleFunc("POST /instances/{id}/deregister", s.handleDeregister)
	mux.HandleFunc("POST /configuration/replace", s.handleConfigurationChange(fleetconfig.Replace))
	mux.HandleFunc("POST /configuration/modify", s.handleConfigurationChange(fleetconfig.Modify))
	mux.HandleFunc("GET /configuration/read", s.handleConfigurationRead)
	s.coordination.addRoutes(mux)
	mux.HandleFunc("GET /metrics", s.handleMetrics)
	return mux
}

// writeError responds with the status that belongs to the kind of an error.
func writeError(w http.ResponseWriter, err error) {
	answer := errkind.AnswerOf(errkind.KindOf(err))
	http.Error(w, err.Error(), answer.Status)
}

// writeEmptyObject responds to a request that was carried out and returns nothing.
func writeEmptyObject(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}\n")
}

// readBody reads the body of a request of at most maxBytes. Its errors are of the kinds errkind.Malformed and
// errkind.TooLarge.
func readBody(r *http.Request, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	if err != nil {
		return nil, errkind.New(errkind.Malformed, "the body was cut short")
	}
	if int64(len(body)) > maxBytes {
		return nil, errkind.New(errkind.TooLarge, "")
	}
	return body, nil
}

// awaitOutcome has the event loop start an operation and waits for its outcome. The operation calls answer in the event
// loop, now or later; calls after the first have no effect. The error is of the kind errkind.Unavailable where no answer
// comes in time: the operation may have succeeded or not.
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

// query has the event loop compute a value and waits for it. It reports false where the process ends first.
func query[T any](s *Server, compute func() T) (T, bool) {
	computed := make(chan T, 1)
	s.enqueue(func() { computed <- compute() })
	select {
	case value := <-computed:
		return value, true
	case <-s.ctx.Done():
		var none T
		return none, false
	}
}
