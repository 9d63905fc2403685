package controlplane

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/coordination"
	"dykering/internal/errkind"
	"dykering/internal/protocol"
)

const (
	// maxCoordinationBytes bounds the body of a call. It has room for a value of the maximum size with all characters
	// escaped, and for the other fields.
	maxCoordinationBytes = 8 * coordination.MaxValueBytes
	// maxWatchWait bounds the time for which a watch waits for events.
	maxWatchWait = time.Minute
	// coordinationRetryAfter is the value of the Retry-After header of a rejected call, in seconds.
	coordinationRetryAfter = "1"
)

// Bodies of requests and responses. Unknown fields of requests are ignored.
type (
	lockRequest struct {
		Holder string `json:"lease_holder"`
		Token  uint64 `json:"fencing_token"`
		HoldMs int64  `json:"hold_ms"`
	}
	lockResponse struct {
		Token uint64 `json:"fencing_token"`
	}
	numberResponse struct {
		Value uint64 `json:"value"`
	}
	putRequest struct {
		Value      *string `json:"value"`
		IfRevision *uint64 `json:"if_revision"`
	}
	revisionResponse struct {
		Revision uint64 `json:"revision"`
	}
	cellResponse struct {
		Value    string `json:"value"`
		Revision uint64 `json:"revision"`
	}
	eventResponse struct {
		Name     string `json:"name"`
		Value    string `json:"value"`
		Revision uint64 `json:"revision"`
	}
	eventsResponse struct {
		Events   []eventResponse `json:"events"`
		Revision uint64          `json:"revision"`
	}
)

// addRoutes registers the routes of the coordination service.
func (c *coordinationService) addRoutes(mux *http.ServeMux) {
	handle := func(pattern, operation string, handler http.HandlerFunc) {
		mux.HandleFunc(pattern, c.metrics.measure(operation, handler))
	}
	handle("POST /locks/{id}/begin", "begin", c.handleLock(coordination.BeginLock))
	handle("POST /locks/{id}/heartbeat", "renew", c.handleLock(coordination.RenewLock))
	handle("POST /locks/{id}/finish", "finish", c.handleLock(coordination.FinishLock))
	handle("POST /numbers/{id}", "number", c.handleNumber)
	handle("POST /cells/{id}/replace", "put", c.handlePut)
	handle("GET /cells/{id}/read", "read", c.handleRead)
	handle("GET /watch/{id}", "watch", c.handleWatch)
}

// handleLock serves the calls that begin, renew or finish a lock.
func (c *coordinationService) handleLock(operation coordination.Operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body lockRequest
		if err := readJSON(r, &body); err != nil {
			writeCoordinationError(w, err)
			return
		}
		result, err := c.awaitWrite(r, coordination.Command{
			Operation: operation,
			Name:      r.PathValue("id"),
			Holder:    body.Holder,
			Token:     body.Token,
			HoldMs:    body.HoldMs,
		})
		switch {
		case err != nil:
			writeCoordinationError(w, err)
		case operation == coordination.BeginLock:
			writeJSON(w, http.StatusOK, lockResponse{Token: result.Token})
		default:
			writeEmptyObject(w)
		}
	}
}

// handleNumber serves POST /numbers/{id}, which returns the next number of a sequence.
func (c *coordinationService) handleNumber(w http.ResponseWriter, r *http.Request) {
	result, err := c.awaitWrite(r, coordination.Command{Operation: coordination.NextNumber, Name: r.PathValue("id")})
	if err != nil {
		writeCoordinationError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, numberResponse{Value: result.Number})
}

// handlePut serves POST /cells/{id}/replace. It answers a revision conflict with the current revision.
func (c *coordinationService) handlePut(w http.ResponseWriter, r *http.Request) {
	var body putRequest
	if err := readJSON(r, &body); err != nil {
		writeCoordinationError(w, err)
		return
	}
	if body.Value == nil {
		writeCoordinationError(w, errkind.New(errkind.Malformed, "value"))
		return
	}
	command := coordination.Command{Operation: coordination.PutCell, Name: r.PathValue("id"), Value: *body.Value}
	if body.IfRevision != nil {
		command.Conditional = true
		command.IfRevision = *body.IfRevision
	}
	result, err := c.awaitWrite(r, command)
	switch {
	case err != nil && errkind.KindOf(err) == errkind.RevisionConflict:
		recordOutcome(w, err)
		writeJSON(w, http.StatusPreconditionFailed, revisionResponse{Revision: result.Revision})
	case err != nil:
		writeCoordinationError(w, err)
	default:
		writeJSON(w, http.StatusOK, revisionResponse{Revision: result.Revision})
	}
}

// handleRead serves GET /cells/{id}/read.
func (c *coordinationService) handleRead(w http.ResponseWriter, r *http.Request) {
	result, err := c.awaitRead(r, r.PathValue("id"), "")
	switch {
	case err != nil:
		writeCoordinationError(w, err)
	case !result.Found:
		writeCoordinationError(w, errkind.New(errkind.NotFound, ""))
	default:
		writeJSON(w, http.StatusOK, cellResponse{Value: result.Value, Revision: result.Revision})
	}
}

// handleWatch serves GET /watch/{id}. If the parameter after is 0 or absent, it returns the current revision of the
// group at once.
func (c *coordinationService) handleWatch(w http.ResponseWriter, r *http.Request) {
	group := r.PathValue("id")
	after, wait, err := readWatch(r)
	if err != nil {
		writeCoordinationError(w, err)
		return
	}
	var answer coordination.WatchAnswer
	if after == 0 {
		var result coordination.Result
		result, answer.Err = c.awaitRead(r, "", group)
		answer.Revision = result.Revision
	} else {
		answer = c.awaitWatch(r, group, after, wait)
	}
	if answer.Err != nil {
		writeCoordinationError(w, answer.Err)
		return
	}
	body := eventsResponse{Events: []eventResponse{}, Revision: answer.Revision}
	for _, event := range answer.Events {
		body.Events = append(body.Events, eventResponse(event))
	}
	writeJSON(w, http.StatusOK, body)
}

// readWatch parses the query of a watch: the start revision and the wait, which is capped at maxWatchWait.
func readWatch(r *http.Request) (after uint64, wait time.Duration, err error) {
	query := r.URL.Query()
	if text := query.Get("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, errkind.New(errkind.Malformed, "after")
		}
	}
	if text := query.Get("wait_ms"); text != "" {
		milliseconds, err := strconv.ParseFloat(text, 64)
		if err != nil || milliseconds < 0 || math.IsNaN(milliseconds) {
			return 0, 0, errkind.New(errkind.Malformed, "wait_ms")
		}
		wait = time.Duration(min(milliseconds, float64(maxWatchWait.Milliseconds())) * float64(time.Millisecond))
	}
	return after, wait, nil
}

// awaitWrite executes a command and waits for its result. If no reply arrives in time, the error is of kind
// errkind.OutcomeUnknown.
func (c *coordinationService) awaitWrite(r *http.Request, command coordination.Command) (coordination.Result, error) {
	if err := command.Validate(); err != nil {
		return coordination.Result{}, err
	}
	reply, err := c.await(r, func(answer func(protocol.Reply)) { c.write(command, answer) })
	if errkind.KindOf(err) == errkind.Unavailable {
		err = errkind.New(errkind.OutcomeUnknown, "no answer in time")
	}
	return reply.Coordination, err
}

// awaitRead reads a cell or the revision of a group, and waits for the result. The name of the other is empty.
func (c *coordinationService) awaitRead(r *http.Request, cell, group string) (coordination.Result, error) {
	reply, err := c.await(r, func(answer func(protocol.Reply)) { c.read(cell, group, answer) })
	return reply.Coordination, err
}

// await starts a call in the event loop and waits for its reply. A call whose deadline has passed, or whose client has
// disconnected, is not started: the process may have been frozen before the event loop reached the call.
func (c *coordinationService) await(r *http.Request, start func(answer func(protocol.Reply))) (protocol.Reply, error) {
	s := c.server
	caller := callerHost(r)
	if err := c.admission.begin(caller); err != nil {
		return protocol.Reply{}, err
	}
	defer c.admission.end(caller)
	var reply protocol.Reply
	deadline := s.now() + s.timing.callTimeout
	err := s.awaitOutcome(func(answer func(error)) {
		if r.Context().Err() != nil || s.now() > deadline {
			answer(errkind.New(errkind.NotReady, "the call came too late"))
			return
		}
		start(func(received protocol.Reply) {
			reply = received
			if received.Failed {
				answer(&errkind.Error{Kind: errkind.Kind(received.Kind), Detail: received.Detail})
				return
			}
			answer(nil)
		})
	})
	if err != nil && errkind.KindOf(err) == errkind.Unavailable {
		return protocol.Reply{}, err // the event loop may still write to reply
	}
	return reply, err
}

// awaitWatch waits for puts of a group with a revision above after.
func (c *coordinationService) awaitWatch(r *http.Request, group string, after uint64, wait time.Duration) coordination.WatchAnswer {
	s := c.server
	answers := make(chan coordination.WatchAnswer, 1)
	w := &coordination.Watch{Group: group, After: after, Answer: func(answer coordination.WatchAnswer) { answers <- answer }}
	s.enqueue(func() {
		now := s.now()
		w.Deadline = now + wait
		c.watches.Add(now, c.watchSource(now), w)
	})
	select {
	case answer := <-answers:
		return answer
	case <-r.Context().Done():
		s.enqueue(func() { c.watches.Remove(w) })
		return coordination.WatchAnswer{Err: errkind.New(errkind.NotReady, "the caller has gone")}
	case <-s.ctx.Done():
		return coordination.WatchAnswer{Err: errkind.New(errkind.NotReady, "the process stops")}
	}
}

// readJSON decodes the body of a call. An empty body stands for an empty object.
func readJSON(r *http.Request, body any) error {
	text, err := readBody(r, maxCoordinationBytes)
	if err != nil || len(text) == 0 {
		return err
	}
	if err := json.Unmarshal(text, body); err != nil {
		return errkind.New(errkind.Malformed, err.Error())
	}
	return nil
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		writeError(w, errors.Wrap(err, "answer"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(text)
}

// writeCoordinationError writes a response with the status of the error's kind. If the call was not executed, the
// response has a Retry-After header.
func writeCoordinationError(w http.ResponseWriter, err error) {
	recordOutcome(w, err)
	if errkind.AnswerOf(errkind.KindOf(err)).NotExecuted {
		w.Header().Set("Retry-After", coordinationRetryAfter)
	}
	writeError(w, err)
}
