package controlplane

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

const (
	headerTimeout         = 3 * time.Second
	idleTimeout           = 60 * time.Second
	maxHeartbeatBytes     = 1 << 20
	maxConfigurationBytes = 16 << 20
)

// handler serves endpoints and the operator.
func (s *Server) httpHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /instances/{id}/heartbeat", s.handleHeartbeat)
	mux.HandleFunc("POST /instances/{id}/deregister", s.handleDeregister)
	mux.HandleFunc("POST /configuration/replace", s.handleChange(fleetconfig.Replace))
	mux.HandleFunc("POST /configuration/modify", s.handleChange(fleetconfig.Modify))
	mux.HandleFunc("GET /configuration/read", s.handleRead)
	mux.HandleFunc("GET /metrics", s.handleMetrics)
	return mux
}

// refuse answers with an error.
func writeError(w http.ResponseWriter, err error) {
	answer := errkind.AnswerOf(errkind.KindOf(err))
	http.Error(w, err.Error(), answer.Status)
}

func readBody(r *http.Request, most int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err != nil {
		return nil, errkind.New(errkind.Malformed, "the body was cut short")
	}
	if int64(len(body)) > most {
		return nil, errkind.New(errkind.TooLarge, "")
	}
	return body, nil
}

// outcome waits for the owner's answer.
func awaitOutcome(s *Server, begin func(answer func(error))) error {
	answered := make(chan error, 1)
	s.enqueue(func() {
		begin(func(err error) {
			select {
			case answered <- err:
			default: // it has its answer
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

func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(r, maxHeartbeatBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	var heartbeat sessions.Heartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		writeError(w, errkind.New(errkind.Malformed, err.Error()))
		return
	}
	if heartbeat.State != sessions.Ready && heartbeat.State != sessions.Draining || heartbeat.Service == "" || heartbeat.Address == "" {
		writeError(w, errkind.New(errkind.Malformed, "service, address or state"))
		return
	}
	id := r.PathValue("id")
	if err := awaitOutcome(s, func(answer func(error)) { s.applyHeartbeat(id, heartbeat, answer) }); err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}\n")
}

func (s *Server) handleDeregister(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if err := awaitOutcome(s, func(answer func(error)) { s.deregister(id, answer) }); err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}\n")
}

// reply waits for the answer to a write or a read.
func (s *Server) awaitReply(begin func(answer func(protocol.Reply))) (protocol.Reply, error) {
	var reply protocol.Reply
	err := awaitOutcome(s, func(answer func(error)) {
		begin(func(got protocol.Reply) {
			reply = got
			if got.Failed {
				answer(&errkind.Error{Kind: errkind.Kind(got.Kind), Detail: got.Detail})
				return
			}
			answer(nil)
		})
	})
	if err != nil {
		return protocol.Reply{}, err
	}
	return reply, nil
}

func (s *Server) handleChange(operation fleetconfig.Operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(r, maxConfigurationBytes)
		if err != nil {
			writeError(w, err)
			return
		}
		base, err := strconv.ParseInt(r.Header.Get("X-Base-Version"), 10, 64)
		if err != nil {
			writeError(w, errkind.New(errkind.Malformed, "X-Base-Version"))
			return
		}
		change := fleetconfig.Change{Operation: operation, Base: base, Body: body}
		if _, err := s.awaitReply(func(answer func(protocol.Reply)) { s.writeConfiguration(change, answer) }); err != nil {
			s.log.Info("configuration.not_taken", "base", base, "error", err)
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, "{}\n")
	}
}

func (s *Server) handleRead(w http.ResponseWriter, _ *http.Request) {
	reply, err := s.awaitReply(s.readConfiguration)
	if err != nil {
		writeError(w, err)
		return
	}
	text, err := reply.Document.JSON()
	if err != nil {
		writeError(w, errors.Wrap(err, "configuration"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}
