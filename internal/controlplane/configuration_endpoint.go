package controlplane

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"dykering/internal/chain"
	"dykering/internal/corestate"
	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/protocol"
)

// maxConfigurationBytes bounds the body of a configuration change. The limit is lower in a process with little memory.
const maxConfigurationBytes = 16 << 20

// handleConfigurationChange serves POST /configuration/replace and POST /configuration/modify. It responds once the
// change is committed. A client may repeat a change whose outcome is unknown: a committed change is not applied twice.
func (s *Server) handleConfigurationChange(operation fleetconfig.Operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		change, err := readChange(r, operation, configurationBytes(s.settings.Limits))
		if err != nil {
			writeError(w, err)
			return
		}
		if _, err := s.awaitReply(func(answer func(protocol.Reply)) { s.writeConfiguration(change, answer) }); err != nil {
			s.log.Info("configuration.not_acknowledged", "base", change.Base, "error", err)
			writeError(w, err)
			return
		}
		writeEmptyObject(w)
	}
}

// readChange reads a change of at most maxBytes from a request. The header X-Base-Version is the version that the change is based on.
func readChange(r *http.Request, operation fleetconfig.Operation, maxBytes int64) (fleetconfig.Change, error) {
	body, err := readBody(r, maxBytes)
	if err != nil {
		return fleetconfig.Change{}, err
	}
	base, err := strconv.ParseInt(r.Header.Get("X-Base-Version"), 10, 64)
	if err != nil {
		return fleetconfig.Change{}, errkind.New(errkind.Malformed, "X-Base-Version")
	}
	return fleetconfig.Change{Operation: operation, Base: base, Body: body}, nil
}

// handleConfigurationRead serves GET /configuration/read. The read is executed at the tail of the chain, which has
// every change that was acknowledged to a client.
func (s *Server) handleConfigurationRead(w http.ResponseWriter, _ *http.Request) {
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

// awaitReply starts a write or a read in the event loop and waits for its reply. If the reply reports a failure, the
// error has the kind of the reply.
func (s *Server) awaitReply(start func(answer func(protocol.Reply))) (protocol.Reply, error) {
	var reply protocol.Reply
	err := s.awaitOutcome(func(answer func(error)) {
		start(func(received protocol.Reply) {
			reply = received
			if received.Failed {
				answer(&errkind.Error{Kind: errkind.Kind(received.Kind), Detail: received.Detail})
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

// writeConfiguration applies a change at the head of the chain.
func (s *Server) writeConfiguration(change fleetconfig.Change, answer func(protocol.Reply)) {
	if s.chain.IsHead() {
		s.proposeAtHead(change, answer)
		return
	}
	view := s.chain.View()
	head, ok := view.Voter(view.Head())
	if !ok || !s.chain.IsReachable(s.now(), head.Address) {
		answer(unavailableReply("no head can be reached"))
		return
	}
	s.callPeer(head.Address, func(number uint64) any {
		return protocol.Write{From: s.chain.Self().Address, ID: number, Change: change}
	}, answer)
}

// proposeAtHead proposes a change at this member. The chain rejects it if this member is not the head.
func (s *Server) proposeAtHead(change fleetconfig.Change, answer func(protocol.Reply)) {
	digests := change.Digests()
	s.applyChainOutput(s.pendingRequests.Write(s.now(), chain.Write{
		Decide:    func(latest any) chain.Decision { return decide(corestate.Configuration(latest), digests, change) },
		IsApplied: func(value any) bool { return corestate.Configuration(value).HasAppliedAny(digests) },
		Respond:   func(err error) { answer(replyFor(err)) },
	}))
}

// readConfiguration reads the configuration at the tail of the chain.
func (s *Server) readConfiguration(answer func(protocol.Reply)) {
	if s.chain.IsTail() {
		s.readAtTail(answer)
		return
	}
	view := s.chain.View()
	tail, ok := view.Voter(view.Tail())
	if !ok || !s.chain.IsReachable(s.now(), tail.Address) {
		answer(unavailableReply("no tail can be reached"))
		return
	}
	s.callPeer(tail.Address, func(number uint64) any {
		return protocol.Read{From: s.chain.Self().Address, ID: number}
	}, answer)
}

// readAtTail reads the configuration at this member. The chain rejects the read if this member is not the tail.
func (s *Server) readAtTail(answer func(protocol.Reply)) {
	s.applyChainOutput(s.pendingRequests.Read(s.now(), chain.Read{Respond: func(state chain.State, err error) {
		if err != nil {
			answer(replyFor(err))
			return
		}
		answer(protocol.Reply{Document: corestate.Configuration(state.Value).Document})
	}}))
}
