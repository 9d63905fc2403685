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
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	mostHeartbeat = 1 << 20
	mostConfig    = 16 << 20
)

// handler serves endpoints and the operator.
func (p *Process) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /instances/{id}/heartbeat", p.handleHeartbeat)
	mux.HandleFunc("POST /instances/{id}/deregister", p.handleDeregister)
	mux.HandleFunc("POST /configuration/replace", p.handleChange(fleetconfig.Replace))
	mux.HandleFunc("POST /configuration/modify", p.handleChange(fleetconfig.Modify))
	mux.HandleFunc("GET /configuration/read", p.handleRead)
	mux.HandleFunc("GET /metrics", p.handleMetrics)
	return mux
}

// refuse answers with an error.
func refuse(w http.ResponseWriter, err error) {
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
func outcome(p *Process, begin func(answer func(error))) error {
	answered := make(chan error, 1)
	p.post(func() {
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
	case <-time.After(p.timing.answerWithin + p.timing.tick):
		return errkind.New(errkind.Unavailable, "no answer in time")
	}
}

func (p *Process) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(r, mostHeartbeat)
	if err != nil {
		refuse(w, err)
		return
	}
	var beat sessions.Heartbeat
	if err := json.Unmarshal(body, &beat); err != nil {
		refuse(w, errkind.New(errkind.Malformed, err.Error()))
		return
	}
	if beat.State != sessions.Ready && beat.State != sessions.Draining || beat.Service == "" || beat.Address == "" {
		refuse(w, errkind.New(errkind.Malformed, "service, address or state"))
		return
	}
	id := r.PathValue("id")
	if err := outcome(p, func(answer func(error)) { p.takeHeartbeat(id, beat, answer) }); err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}\n")
}

func (p *Process) handleDeregister(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if err := outcome(p, func(answer func(error)) { p.deregister(id, answer) }); err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}\n")
}

// reply waits for the answer to a write or a read.
func (p *Process) reply(begin func(answer func(protocol.Reply))) (protocol.Reply, error) {
	var reply protocol.Reply
	err := outcome(p, func(answer func(error)) {
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

func (p *Process) handleChange(operation fleetconfig.Operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(r, mostConfig)
		if err != nil {
			refuse(w, err)
			return
		}
		base, err := strconv.ParseInt(r.Header.Get("X-Base-Version"), 10, 64)
		if err != nil {
			refuse(w, errkind.New(errkind.Malformed, "X-Base-Version"))
			return
		}
		change := fleetconfig.Change{Operation: operation, Base: base, Body: body}
		if _, err := p.reply(func(answer func(protocol.Reply)) { p.write(change, answer) }); err != nil {
			p.log.Info("configuration.not_taken", "base", base, "error", err)
			refuse(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, "{}\n")
	}
}

func (p *Process) handleRead(w http.ResponseWriter, _ *http.Request) {
	reply, err := p.reply(p.read)
	if err != nil {
		refuse(w, err)
		return
	}
	text, err := reply.Document.JSON()
	if err != nil {
		refuse(w, errors.Wrap(err, "configuration"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}
